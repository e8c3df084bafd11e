#include "checksummed/corruption_tracker.h"

#include <utility>

#include "filestore/atomic_file.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::checksummed {
namespace {

// Delay between a change of the log and its save, us. One save then covers many changes.
constexpr Time kSaveDelay = 1'000'000;

void LogStoreStatus(const std::string& error) {
  if (error.empty()) {
    return log::Event(log::Level::kWarn, log::kDirectoryWritable, {});
  }
  log::Event(log::Level::kError, log::kDirectoryWriteFailed, {{"error", error}});
}

}  // namespace

CorruptionTracker::CorruptionTracker(event_base* base, const std::string& folder) : folder_(folder) {
  if (folder.empty()) {
    return;
  }
  LoadLog();
  file_store_ = std::make_unique<filestore::FileStore>(
      [this](const std::string& name, const std::string& bytes, std::string* error) {
        return name == integrity::kCorruptionLogName
                   ? log_file_->Write(bytes, error)
                   : filestore::WriteFileAtomically(folder_, name, bytes, error);
      },
      LogStoreStatus);
  save_timer_ = loop::MakeTimer(base, [this] { SaveLog(); });
}

CorruptionTracker::~CorruptionTracker() {
  if (file_store_ && corruption_log_.changed()) {
    SaveLog();
  }
}

void CorruptionTracker::LoadLog() {
  log_file_ = std::make_unique<integrity::CorruptionLogFile>(folder_);
  std::string error;
  if (log_file_->Load(&corruption_log_, &error) == integrity::CorruptionLogFile::LoadResult::kRejected) {
    log::Event(log::Level::kError, log::kCorruptionLogRejected, {{"error", error}});
  }
}

void CorruptionTracker::SaveLog() {
  save_scheduled_ = false;
  file_store_->Put(integrity::kCorruptionLogName, corruption_log_.Encode());
}

std::optional<integrity::FaultAttribution> CorruptionTracker::AddReading(
    const integrity::BlockLocation& location, int paths, const integrity::Reading& reading, Time now) {
  auto attribution = investigations_.AddReading(location, paths, reading, now);
  if (reading.good) {
    corruption_log_.MarkRepaired(location, now);
  }
  if (attribution) {
    corruption_log_.Record(location, *attribution, now);
    log::Event(log::Level::kError, log::kCorruptionAttributed,
               {{"target", location.target},
                {"export", location.remote},
                {"block", std::to_string(location.block)},
                {"fault", integrity::NameOf(attribution->fault)},
                {"path", std::to_string(attribution->path)}});
  }
  if (file_store_ && corruption_log_.changed() && !std::exchange(save_scheduled_, true)) {
    save_timer_.Start(kSaveDelay);
  }
  return attribution;
}

}  // namespace walnutspur::checksummed
