#include "lab/fakes/initiator_process.h"

#include <vector>

namespace walnutspur::lab {

std::unique_ptr<Process> StartInitiator(const TemporaryFolder& folder, const InitiatorOptions& options) {
  const std::string config = FormatPlatformConfig(options.config).dump();
  std::vector<std::string> command = {options.program, "--config", folder.Put(options.name + ".json", config),
                                      "--settings", folder.Put(options.name + ".toml", options.settings)};
  if (!options.nbd_deploy_file.empty()) {
    command.emplace_back("--nbd");
    command.push_back(folder.Put(options.name + ".nbd.toml", options.nbd_deploy_file));
  }
  return std::make_unique<Process>(command, options.environment, InitiatorLogPath(folder, options.name));
}

std::string InitiatorLogPath(const TemporaryFolder& folder, const std::string& name) {
  return folder.path() + "/" + name + ".log";
}

}  // namespace walnutspur::lab
