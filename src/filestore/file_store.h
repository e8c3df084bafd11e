// Stores small files of one folder asynchronously, so that a slow or hanging disk does not block the caller.
// Only the newest content of each name is queued. A failed write is retried with an increasing backoff and
// reported once.
//
// Owns its thread, on which all writes run. Put, Flush and the counters may be called from any thread; only
// Flush waits for the disk. The destructor makes one last attempt to write what is pending.
#ifndef WALNUTSPUR_FILESTORE_FILE_STORE_H_
#define WALNUTSPUR_FILESTORE_FILE_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace walnutspur::filestore {

class FileStore {
 public:
  // Writes one file. Returns false and sets `*error` to a one-line message on failure.
  using Write = std::function<bool(const std::string& name, const std::string& bytes, std::string* error)>;
  // Called with the error when writes begin to fail, and with an empty string when they succeed again.
  using ReportStatus = std::function<void(const std::string& error)>;

  // Both functions run on the store's thread. `backoff` is the time until the first retry; it doubles with
  // each further failure, up to `max_backoff`.
  FileStore(Write write, ReportStatus report_status,
            std::chrono::milliseconds backoff = std::chrono::seconds(1),
            std::chrono::milliseconds max_backoff = std::chrono::minutes(1));
  ~FileStore();
  FileStore(const FileStore&) = delete;
  FileStore& operator=(const FileStore&) = delete;

  // Queues a file to be written; replaces its pending content, if there is any. Never blocks on the disk.
  void Put(const std::string& name, std::string bytes);
  // Waits until nothing is pending or being written. Returns false on a timeout.
  bool Flush(std::chrono::milliseconds timeout);
  std::uint64_t failed() const;

 private:
  struct PendingFile {
    std::string name;
    std::string bytes;
  };

  void Run();
  PendingFile TakePending();

  const Write write_;
  const ReportStatus report_status_;
  const std::chrono::milliseconds backoff_;
  const std::chrono::milliseconds max_backoff_;
  mutable std::mutex mutex_;  // guards the members below, except thread_
  std::condition_variable changed_;
  std::condition_variable idle_;
  std::map<std::string, std::string> pending_;  // content by name
  bool writing_ = false;
  bool stopping_ = false;
  std::uint64_t failed_ = 0;
  std::thread thread_;
};

}  // namespace walnutspur::filestore

#endif  // WALNUTSPUR_FILESTORE_FILE_STORE_H_
