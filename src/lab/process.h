// A program of this project as a child, and a folder for what it reads and writes. Both are gone with their
// owner.
#ifndef WALNUTSPUR_LAB_PROCESS_H_
#define WALNUTSPUR_LAB_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace walnutspur::lab {

class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }
  // Writes a file there and returns its path.
  std::string Put(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

class Process {
 public:
  // Starts it with these arguments and further variables in its environment; its output goes to `log`.
  Process(const std::vector<std::string>& command, const std::map<std::string, std::string>& environment,
          const std::string& log);
  ~Process();  // SIGKILL
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  void Kill();  // SIGKILL, and waits
  // Waits for its end; the exit code, or -1 if it was ended by a signal or goes on.
  int Wait(int ms);
  bool running();
  // Seconds of processor time that it has used, and bytes that it holds in memory now.
  double cpu() const;
  long memory() const;

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
  int status_ = 0;
};

// Whether something listens at a port of 127.0.0.1 within the time.
bool WaitForPort(int port, int ms);
// A port that is free now.
int FreePort();

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_PROCESS_H_
