#include "app/status_report.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace walnutspur::app {
namespace {

using integrity::Volume;
using nlohmann::json;

constexpr int kIndent = 2;

const char* NameOf(Volume::State state) {
  switch (state) {
    case Volume::State::kReady:
      return "ready";
    case Volume::State::kFailed:
      return "broken";
    default:
      return "attaching";
  }
}

json CorruptionLogStatus(const checksummed::CorruptionTracker& corruption) {
  return {{"damaged", corruption.corruption_log().corrupt_count()},
          {"all", corruption.corruption_log().entries().size()},
          {"dropped", corruption.corruption_log().dropped()},
          {"open_cases", corruption.investigations().open_count()}};
}

json ExportStatus(const nbd::Volume& config, const Volume& volume) {
  const Volume::State state = volume.state();
  json status = {{"name", config.client_export.name},
                 {"box", config.target},
                 {"state", NameOf(state)},
                 {"open", volume.pending_commands()}};
  if (state == Volume::State::kFailed) {
    status["why"] = volume.error();
  }
  if (state == Volume::State::kReady) {
    status.update({{"journal", volume.superblock().geometry.journal_size},
                   {"journal_used", volume.journal_used()},
                   {"checkpoints", volume.checkpoints()},
                   {"lost_in_journal", volume.unrecoverable_blocks().size()}});
  }
  return status;
}

json ExportsStatus(const StatusSources& sources) {
  json exports = json::array();
  for (std::size_t i = 0; i < sources.nbd->volumes.size(); ++i) {
    const Volume* volume = sources.exports->volume(i);
    if (volume != nullptr) {
      exports.push_back(ExportStatus(sources.nbd->volumes[i], *volume));
    }
  }
  return exports;
}

json PathsStatus(checksummed::ChecksummedExports* exports) {
  json paths = json::array();
  if (exports == nullptr) {
    return paths;
  }
  for (const auto& path : exports->paths()) {
    paths.push_back({{"box", path.target}, {"path", path.path}, {"state", integrity::NameOf(path.state)}});
  }
  return paths;
}

json ScrubStatus(const checksummed::Scrub* scrub) {
  json status = {{"on", scrub != nullptr}, {"paused", scrub != nullptr && scrub->paused()}};
  if (scrub == nullptr) {
    return status;
  }
  status.update({{"requests", scrub->requests()}, {"failed", scrub->failed()}});
  for (const auto& job : scrub->status()) {
    status["exports"].push_back({{"name", job.name},
                                 {"position", job.position},
                                 {"total", job.total},
                                 {"rounds", job.rounds},
                                 {"rate", job.rate},
                                 {"in_flight", job.in_flight}});
  }
  return status;
}

}  // namespace

std::string StatusReport(const StatusSources& sources) {
  const json report = {{"ledger", CorruptionLogStatus(*sources.corruption)},
                       {"exports", ExportsStatus(sources)},
                       {"paths", PathsStatus(sources.exports)},
                       {"scrub", ScrubStatus(sources.scrub)}};
  return report.dump(kIndent) + "\n";
}

}  // namespace walnutspur::app
