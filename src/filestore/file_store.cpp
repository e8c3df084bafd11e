#include "filestore/file_store.h"

#include <algorithm>
#include <utility>

namespace walnutspur::filestore {

FileStore::FileStore(Write write, std::function<void(const std::string&)> told,
                     std::chrono::milliseconds rest, std::chrono::milliseconds most_rest)
    : write_(std::move(write)), told_(std::move(told)), rest_(rest), most_rest_(most_rest), thread_([this] {
        Run();
      }) {}

FileStore::~FileStore() {
  {
    const std::lock_guard lock(mutex_);
    ends_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void FileStore::Put(const std::string& name, std::string bytes) {
  {
    const std::lock_guard lock(mutex_);
    waiting_[name] = std::move(bytes);
  }
  changed_.notify_all();
}

bool FileStore::Flush(std::chrono::milliseconds most) {
  std::unique_lock lock(mutex_);
  return settled_.wait_for(lock, most, [this] { return waiting_.empty() && !writing_; });
}

std::uint64_t FileStore::written() const {
  const std::lock_guard lock(mutex_);
  return written_;
}

std::uint64_t FileStore::failed() const {
  const std::lock_guard lock(mutex_);
  return failed_;
}

void FileStore::Run() {
  std::chrono::milliseconds rest = rest_;
  bool failing = false;
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return ends_ || !waiting_.empty(); });
    if (waiting_.empty()) {
      return;
    }
    const auto [name, bytes] = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    writing_ = true;
    lock.unlock();
    std::string what;
    const bool done = write_(name, bytes, &what);
    if (done == failing) {
      told_(done ? "" : what);
    }
    failing = !done;
    lock.lock();
    writing_ = false;
    if (done) {
      ++written_;
      rest = rest_;
      settled_.notify_all();
      continue;
    }
    ++failed_;
    if (ends_) {
      return;  // that was the last try
    }
    waiting_.try_emplace(name, bytes);  // unless a newer one has come meanwhile
    // A disk that fails gets time: neither a burst of changes nor a retry may keep it busy.
    changed_.wait_for(lock, rest, [this] { return ends_; });
    rest = std::min(2 * rest, most_rest_);
  }
}

}  // namespace walnutspur::filestore
