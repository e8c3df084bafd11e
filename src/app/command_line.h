// Parses the command line into the action to perform and its arguments. Called once, by main.
#ifndef WALNUTSPUR_APP_COMMAND_LINE_H_
#define WALNUTSPUR_APP_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "app/integrity_tool.h"
#include "app/options.h"

namespace walnutspur::app {

enum class Action {
  kServe,
  kCheck,
  kExample,
  kVersion,
  kFormat,
  kShowSuperblock,
  kVerify,
  kShowCorruptionLog,
  kSendCommand,
  kPrintMessage
};

// A parsed command line.
struct Command {
  Action action = Action::kServe;
  Options options;                 // kServe
  std::string settings;            // kServe: the settings file; empty: none
  std::string config;              // kServe: the platform's configuration; empty: BALANCER_CONFIG names it
  std::vector<std::string> files;  // kCheck
  IntegrityOptions integrity;      // the actions on checksummed exports and running processes
  std::string message;             // kPrintMessage: help or an error
  int exit_code = 0;               // kPrintMessage
};

// Parses the arguments, without the program's name. Without arguments, the action is kServe. An invalid
// command line results in kPrintMessage with exit code 2.
Command ParseCommand(std::vector<std::string> arguments);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_COMMAND_LINE_H_
