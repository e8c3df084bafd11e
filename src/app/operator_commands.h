// Executes the commands that operators send to a running process through the control socket.
//
// Owned by the Initiator; runs on the event-loop thread. No command affects the scheduling of clients'
// requests.
#ifndef WALNUTSPUR_APP_OPERATOR_COMMANDS_H_
#define WALNUTSPUR_APP_OPERATOR_COMMANDS_H_

#include <string>
#include <vector>

#include "app/fleet_publisher.h"
#include "app/status_report.h"
#include "checksummed/scrub.h"

namespace walnutspur::app {

class OperatorCommands {
 public:
  // `scrub` and `fleet` may be null. All arguments must outlive this object.
  OperatorCommands(const StatusSources& status, checksummed::Scrub* scrub, FleetPublisher* fleet);

  // Executes a command, given as its words. Returns the response, which is a line that starts with "error: "
  // if the command cannot be executed.
  std::string Execute(const std::vector<std::string>& words);

 private:
  std::string ExecuteScrub(const std::vector<std::string>& words);
  std::string Recheck(const std::string& export_name, const std::string& block);

  StatusSources status_;
  checksummed::Scrub* scrub_;
  FleetPublisher* fleet_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_OPERATOR_COMMANDS_H_
