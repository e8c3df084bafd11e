// Runs a program of this project as a child process.
//
// The child is killed with its owner, a test or a test environment. Used by one thread at a time.
#ifndef WALNUTSPUR_LAB_FAKES_PROCESS_H_
#define WALNUTSPUR_LAB_FAKES_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace walnutspur::lab {

// Thrown if the system cannot create a process, or the process does not start to listen.
class ProcessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Process {
 public:
  // Starts the command, whose first word is the program's path, with these variables added to its
  // environment. Its output is appended to the file `log`. Throws ProcessError.
  Process(const std::vector<std::string>& command, const std::map<std::string, std::string>& environment,
          const std::string& log);
  ~Process();  // kills the process
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  // Returns whether the process handles or blocks a signal, instead of being ended by it.
  bool HandlesSignal(int number) const;
  // Sends SIGKILL and waits until the process has exited.
  void Kill();
  // Waits at most `ms` milliseconds for the process to exit. Returns the exit code, or -1 if a signal ended
  // the process or it still runs.
  int Wait(int ms);
  bool running();

  // Returns the peak of the resident memory, bytes; 0 once the process has exited.
  std::size_t peak_memory() const;
  // Returns the processor time that all threads of the process have used, in seconds.
  double cpu() const;
  // Returns the time that all threads were ready to run and waited for a processor, in seconds.
  double processor_wait() const;

 private:
  std::string ProcPath(const std::string& name) const;
  // Returns the sum over all threads of a column of their schedstat files, in seconds. The schedstat of the
  // process covers its first thread only.
  double SumOfSchedstat(int column) const;

  pid_t pid_ = -1;
  bool reaped_ = false;
  int status_ = 0;  // of waitpid, once reaped
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_PROCESS_H_
