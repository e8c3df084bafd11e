#include "app/operator_commands.h"

#include <charconv>
#include <cstdint>
#include <optional>

#include "integrity/layout.h"

namespace walnutspur::app {
namespace {

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

OperatorCommands::OperatorCommands(const StatusSources& status, checksummed::Scrub* scrub,
                                   FleetPublisher* fleet)
    : status_(status), scrub_(scrub), fleet_(fleet) {}

std::string OperatorCommands::Execute(const std::vector<std::string>& words) {
  const std::string command = words.empty() ? "" : words[0];
  if (command == "status" && words.size() == 1) {
    return StatusReport(status_);
  }
  if (command == "fleet") {
    if (fleet_ == nullptr) {
      return "error: not a member of a fleet: the settings file has no [fleet] table\n";
    }
    return fleet_->Execute({words.begin() + 1, words.end()});
  }
  if (command == "pause" || command == "resume" || command == "recheck") {
    return ExecuteScrub(words);
  }
  return "error: unknown command \"" + command +
         "\"; allowed: status, fleet view, pause, resume, recheck EXPORT BLOCK\n";
}

std::string OperatorCommands::ExecuteScrub(const std::vector<std::string>& words) {
  if (scrub_ == nullptr) {
    return "error: the scrub is not running: scrub.on is false, or no export has checksums\n";
  }
  if (words[0] != "recheck") {
    scrub_->Pause(words[0] == "pause");
    return "ok\n";
  }
  if (words.size() != 3) {
    return "error: recheck requires the name of an export and the number of a block\n";
  }
  return Recheck(words[1], words[2]);
}

std::string OperatorCommands::Recheck(const std::string& export_name, const std::string& block) {
  const std::optional<std::uint64_t> number = ParseNumber(block);
  for (std::size_t i = 0; i < status_.nbd->volumes.size(); ++i) {
    const nbd::Volume& volume = status_.nbd->volumes[i];
    if (!volume.checksummed || volume.client_export.name != export_name) {
      continue;
    }
    const std::uint64_t blocks = volume.client_export.size / integrity::kBlockBytes;
    if (!number || *number >= blocks) {
      return "error: " + block + " is not a block number of the export; allowed: 0 to " +
             std::to_string(blocks - 1) + "\n";
    }
    scrub_->Recheck(i, *number);
    return "ok\n";
  }
  return "error: no checksummed export is named " + export_name + "\n";
}

}  // namespace walnutspur::app
