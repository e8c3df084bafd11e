// Starts the program under test, a stand-alone initiator, with its files in a temporary folder.
//
// Called by the owner of the folder and of the process, a test or a test environment, on its thread.
#ifndef WALNUTSPUR_LAB_FAKES_INITIATOR_PROCESS_H_
#define WALNUTSPUR_LAB_FAKES_INITIATOR_PROCESS_H_

#include <map>
#include <memory>
#include <string>

#include "lab/fakes/platform_config.h"
#include "lab/fakes/process.h"
#include "lab/fakes/temporary_folder.h"

namespace walnutspur::lab {

struct InitiatorOptions {
  std::string program;                             // path of the walnutspur program
  std::string name = "n0";                         // prefix of its files' names
  PlatformConfig config;                           // its --config
  std::string settings;                            // text of its --settings (TOML)
  std::string nbd_deploy_file;                     // text of its --nbd (TOML); empty: NBD is off
  std::map<std::string, std::string> environment;  // added to the caller's
};

// Writes the files and starts the process; does not wait until it listens. Throws ProcessError.
std::unique_ptr<Process> StartInitiator(const TemporaryFolder& folder, const InitiatorOptions& options);

// Returns the path of the file to which the process's output is appended, over all its starts.
std::string InitiatorLogPath(const TemporaryFolder& folder, const std::string& name);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_INITIATOR_PROCESS_H_
