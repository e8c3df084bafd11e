#include "checksummed/corruption_tracker.h"

#include <utility>

#include "filestore/atomic_file.h"
#include "log/log.h"

namespace walnutspur::checksummed {
namespace {

constexpr Time kSave = 1'000'000;  // us from a verdict to the ledger's file: one save for many
const std::string kLedger = "damage.ledger";

}  // namespace

CorruptionTracker::CorruptionTracker(event_base* base, const std::string& folder) : folder_(folder) {
  if (folder.empty()) {
    return;
  }
  file_ = std::make_unique<integrity::LedgerFile>(folder);
  std::string what;
  if (file_->Load(&ledger_, &what) == integrity::LedgerFile::Found::kRefused) {
    log::Event(log::Level::kError, "ledger_refused", {{"what", what}});
  }
  keeper_ = std::make_unique<filestore::FileStore>(
      [this](const std::string& name, const std::string& bytes, std::string* why) {
        return name == kLedger ? file_->Write(bytes, why)
                               : filestore::WriteFileAtomically(folder_, name, bytes, why);
      },
      [](const std::string& why) {
        if (why.empty()) {
          return log::Event(log::Level::kWarn, "folder_works_again", {});
        }
        log::Event(log::Level::kError, "folder_not_written", {{"what", why}});
      });
  save_ = loop::MakeTimer(base, [this] { Save(); });
}

CorruptionTracker::~CorruptionTracker() {
  if (keeper_ && ledger_.changed()) {
    Save();
  }
}

void CorruptionTracker::Save() {
  saving_ = false;
  keeper_->Put(kLedger, ledger_.Encode());
}

std::optional<integrity::Verdict> CorruptionTracker::Note(const integrity::Place& place, int paths,
                                                          const integrity::Reading& reading, Time now) {
  if (!reading.good) {
    ++mismatches_;
  }
  auto verdict = cases_.Note(place, paths, reading, now);
  if (reading.good) {
    ledger_.Mend(place, now);
  }
  if (verdict) {
    ++verdicts_;
    ledger_.Note(place, *verdict, now);
    log::Event(log::Level::kError, "damage",
               {{"box", place.box},
                {"export", place.remote},
                {"block", std::to_string(place.block)},
                {"fault", integrity::NameOf(verdict->fault)},
                {"path", std::to_string(verdict->path)}});
  }
  if (keeper_ && ledger_.changed() && !std::exchange(saving_, true)) {
    save_.Start(kSave);
  }
  return verdict;
}

}  // namespace walnutspur::checksummed
