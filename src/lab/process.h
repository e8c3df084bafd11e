// A program of this project as a child process, a temporary folder for what it reads and writes, and TCP
// ports.
//
// A child and a folder end with their owner. Nothing here has a thread of its own; a Process is used by one
// thread at a time.
#ifndef WALNUTSPUR_LAB_PROCESS_H_
#define WALNUTSPUR_LAB_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace walnutspur::lab {

// The system refuses a process, a folder or a port.
class ProcessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A temporary folder, removed with all files in it on destruction.
class Folder {
 public:
  Folder();  // throws ProcessError
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& path() const { return path_; }
  // Writes a file into the folder and returns its path.
  std::string Put(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

class Process {
 public:
  // Starts the command, whose first word is the program's path, with these variables added to its
  // environment. Its output is appended to the file `log`. Throws ProcessError.
  Process(const std::vector<std::string>& command, const std::map<std::string, std::string>& environment,
          const std::string& log);
  ~Process();  // kills it
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Waits up to `ms` milliseconds for the end. The exit code, or -1 if a signal ended it or it still runs.
  int Wait(int ms);
  bool running();

  // Processor time that all its threads have used, in seconds.
  double cpu() const;
  // Resident memory in bytes.
  std::int64_t memory() const;

 private:
  std::string ProcPath(const std::string& name) const;

  pid_t pid_ = -1;
  bool reaped_ = false;
  int status_ = 0;  // of waitpid, once reaped
};

// Whether something listens on a port of 127.0.0.1 within `ms` milliseconds.
bool WaitForPort(int port, int ms);
// A port of 127.0.0.1 that is free now. Throws ProcessError.
int FreePort();

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_PROCESS_H_
