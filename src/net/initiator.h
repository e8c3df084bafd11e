// One initiator, to be embedded: fronts, engine, connectors and discovery on one loop.
#ifndef WALNUTSPUR_NET_INITIATOR_H_
#define WALNUTSPUR_NET_INITIATOR_H_

#include <map>
#include <memory>

#include "core/owner.h"
#include "core/port.h"
#include "net/config.h"
#include "net/discovery.h"
#include "net/http_front.h"
#include "net/http_targets.h"
#include "net/loop.h"

namespace walnutspur::net {

class Initiator {
 public:
  explicit Initiator(Config config);
  ~Initiator();
  Initiator(const Initiator&) = delete;
  Initiator& operator=(const Initiator&) = delete;

  // Serves until it is told to stop and has answered what it took.
  void Run();
  void Stop();  // like SIGTERM

  event_base* base() { return base_.get(); }
  HttpFront& front() { return *front_; }

 private:
  void Drain();
  void Leave();
  void OnList(walnutspur::Membership list, const TargetList& raw);

  void Do(const core::Attempt& output) { connector(output.wire).Start(output); }
  void Do(const core::Cancel& output) { connector(output.wire).Stop(output.serial, output.trial); }
  void Do(const core::Withdraw& output);
  void Do(const core::Answer& output);
  void Do(const core::Ring& output);
  void Do(const core::Watch&) { discovery_->Watch(); }
  void Do(const core::Check& output) { targets_->Probe(output.target); }
  core::Connector& connector(core::Wire wire);

  Config config_;
  BaseRef base_;
  Serials serials_;
  std::unique_ptr<HttpFront> front_;
  std::unique_ptr<HttpTargets> targets_;
  std::unique_ptr<Discovery> discovery_;
  std::uint64_t next_ring_ = 0;
  std::map<std::uint64_t, Watcher> rings_;
  core::Time stopped_ = 0;
  Watcher outputs_, term_, interrupt_, leave_, last_;
  std::unique_ptr<core::Owner> owner_;
};

}  // namespace walnutspur::net

#endif  // WALNUTSPUR_NET_INITIATOR_H_
