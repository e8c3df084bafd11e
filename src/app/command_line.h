// The command line: what is to be done, and with which files.
#ifndef WALNUTSPUR_APP_COMMAND_LINE_H_
#define WALNUTSPUR_APP_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "app/initiator.h"
#include "app/integrity_tool.h"

namespace walnutspur::app {

enum class Action { kServe, kCheck, kExample, kVersion, kFormat, kSuper, kVerify, kLedger, kAsk, kSaid };

struct Command {
  Action action = Action::kServe;
  Options options;                 // of serve
  std::string settings;            // our own settings' file; empty: none
  std::string config;              // the platform's; empty: what BALANCER_CONFIG names
  std::vector<std::string> files;  // of check
  IntegrityOptions integrity;
  std::string said;  // kSaid: what to print (help, or what is wrong)
  int code = 0;      // kSaid: the exit code
};

// `arguments` without the program's name. No argument at all is serve. What is wrong comes back as kSaid with
// code 2.
Command ParseCommand(std::vector<std::string> arguments);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_COMMAND_LINE_H_
