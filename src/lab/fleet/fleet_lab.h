// A fleet of processes of the program, with a carrier between them. What is true is what we did to the
// processes; each living one's view is held against it.
#ifndef WALNUTSPUR_LAB_FLEET_FLEET_LAB_H_
#define WALNUTSPUR_LAB_FLEET_FLEET_LAB_H_

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/carrier/carrier.h"
#include "lab/discovery.h"
#include "lab/process.h"

namespace walnutspur::lab {

class FleetLab {
 public:
  // `program` is build/walnutspur; nothing is started yet.
  FleetLab(std::string program, int members, std::uint64_t seed);

  void Start(int member);  // a new process, under its name and address
  void Kill(int member);   // SIGKILL
  void Stop(int member) { Signal(member, SIGSTOP); }
  void Wake(int member) { Signal(member, SIGCONT); }
  void Term(int member);  // SIGTERM, and waits for the end
  // Another process under the name of `member` at the carrier's address of `at`; its exit code within `ms`,
  // or -1 if it goes on (then it is killed).
  int Twin(int member, int at, int ms);

  Carrier& carrier() { return carrier_; }
  std::string name(int member) const { return "m" + std::to_string(member); }
  // What is wrong with the living members' views, the first thing; empty: nothing.
  std::string Wrong();
  // Until nothing is wrong; us that it took, or -1.
  Time UntilTrue(Time most);
  nlohmann::json View(int member);  // null if it does not answer
  std::string Log(int member) const;
  // Seconds of processor time of all living members.
  double cpu() const;

 private:
  struct Held {
    std::unique_ptr<Folder> folder;
    std::unique_ptr<Process> process;  // null: it is not there
    bool stopped = false;
  };

  void Signal(int member, int number);
  std::vector<std::string> Prepare(const Held& held, int name, int at) const;

  std::string program_;
  Carrier carrier_;
  Discovery discovery_;
  std::vector<Held> members_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_FLEET_LAB_H_
