#include "filestore/file_store.h"

#include <algorithm>
#include <utility>

namespace walnutspur::filestore {

FileStore::FileStore(Write write, ReportStatus report_status, std::chrono::milliseconds backoff,
                     std::chrono::milliseconds max_backoff)
    : write_(std::move(write)),
      report_status_(std::move(report_status)),
      backoff_(backoff),
      max_backoff_(max_backoff),
      thread_([this] { Run(); }) {}

FileStore::~FileStore() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void FileStore::Put(const std::string& name, std::string bytes) {
  {
    const std::lock_guard lock(mutex_);
    pending_[name] = std::move(bytes);
  }
  changed_.notify_all();
}

bool FileStore::Flush(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  return idle_.wait_for(lock, timeout, [this] { return pending_.empty() && !writing_; });
}

std::uint64_t FileStore::failed() const {
  const std::lock_guard lock(mutex_);
  return failed_;
}

// The caller must hold the lock.
FileStore::PendingFile FileStore::TakePending() {
  const auto first = pending_.begin();
  PendingFile file{first->first, std::move(first->second)};
  pending_.erase(first);
  return file;
}

void FileStore::Run() {
  std::chrono::milliseconds backoff = backoff_;
  bool failing = false;
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
    if (pending_.empty()) {
      return;
    }
    PendingFile file = TakePending();
    writing_ = true;
    lock.unlock();
    std::string error;
    const bool written = write_(file.name, file.bytes, &error);
    if (written == failing) {
      report_status_(written ? "" : error);
    }
    failing = !written;
    lock.lock();
    writing_ = false;
    if (written) {
      backoff = backoff_;
      idle_.notify_all();
      continue;
    }
    ++failed_;
    if (stopping_) {
      return;
    }
    pending_.try_emplace(file.name, std::move(file.bytes));  // unless newer content is pending
    // New content does not shorten the backoff, so that a failing disk is not kept busy.
    changed_.wait_for(lock, backoff, [this] { return stopping_; });
    backoff = std::min(2 * backoff, max_backoff_);
  }
}

}  // namespace walnutspur::filestore
