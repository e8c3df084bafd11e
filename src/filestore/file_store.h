// Keeps small files in one folder from a thread of its own, so that a slow or hanging disk stops nobody. Of
// each name the newest content alone waits; what fails is tried again, ever more rarely, and told once.
//
// Owns its thread. Put may be called from any thread and never blocks on the disk. The destructor gives what
// waits one last try.
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
  using Write = std::function<bool(const std::string& name, const std::string& bytes, std::string* what)>;

  // `write` runs on the keeper's thread; `told` there too, with a line when writing begins to fail and with
  // an empty one when it works again. `rest` is the first pause after a failure, doubled up to `most_rest`.
  FileStore(Write write, std::function<void(const std::string& what)> told,
            std::chrono::milliseconds rest = std::chrono::seconds(1),
            std::chrono::milliseconds most_rest = std::chrono::minutes(1));
  ~FileStore();
  FileStore(const FileStore&) = delete;
  FileStore& operator=(const FileStore&) = delete;

  void Put(const std::string& name, std::string bytes);
  // Until nothing waits or is being written, or the time is over; whether nothing does.
  bool Flush(std::chrono::milliseconds most);
  std::uint64_t written() const;
  std::uint64_t failed() const;

 private:
  void Run();

  const Write write_;
  const std::function<void(const std::string&)> told_;
  const std::chrono::milliseconds rest_, most_rest_;
  mutable std::mutex mutex_;
  std::condition_variable changed_, settled_;
  std::map<std::string, std::string> waiting_;
  bool writing_ = false, ends_ = false;
  std::uint64_t written_ = 0, failed_ = 0;
  std::thread thread_;
};

}  // namespace walnutspur::filestore

#endif  // WALNUTSPUR_FILESTORE_FILE_STORE_H_
