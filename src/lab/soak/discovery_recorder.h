// Records the events of the fake discovery service in the record of a run.
//
// Owned by a test environment; called on the thread of its event loop.
#ifndef WALNUTSPUR_LAB_SOAK_DISCOVERY_RECORDER_H_
#define WALNUTSPUR_LAB_SOAK_DISCOVERY_RECORDER_H_

#include "lab/fakes/discovery_service.h"
#include "lab/soak/record.h"

namespace walnutspur::lab::soak {

class DiscoveryRecorder : public DiscoveryObserver {
 public:
  // `record` must outlive the recorder.
  explicit DiscoveryRecorder(Record* record) : record_(record) {}

  void OnEndpointSet(int revision, const ListedEndpoint& endpoint) override;
  void OnListWritten(int client, int revision) override;
  void OnCallFailed(int client) override;
  void OnOutageEnded(Time began_at) override;

 private:
  Record* record_;
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_DISCOVERY_RECORDER_H_
