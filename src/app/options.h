// The options of an Initiator, from the command line, the settings file or an embedding program.
//
// A plain value; read while the Initiator is constructed.
#ifndef WALNUTSPUR_APP_OPTIONS_H_
#define WALNUTSPUR_APP_OPTIONS_H_

#include <optional>
#include <string>

#include "checksummed/scrub.h"
#include "fleet/fleet.h"

namespace walnutspur::app {

struct Options {
  std::string nbd;     // configuration file of the NBD front end; empty: no NBD front end
  std::string record;  // pcap file that the clients' traffic is written to; empty: none
  std::string folder;  // holds corruption log, scrub cursors and control socket; empty: none of them
  checksummed::ScrubOptions scrub;
  std::optional<fleet::FleetOptions> fleet;  // empty: not a member of a fleet
  Time ready_timeout =
      8'000'000;       // us after the start; the latest time to report ready, even without endpoints
  std::string replay;  // pcap file to replay to the front ends before shutting down; empty: none
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_OPTIONS_H_
