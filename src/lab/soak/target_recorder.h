// Records the requests that reach the targets in the record of a run.
//
// Owned by a test environment; called on the thread of its event loop.
#ifndef WALNUTSPUR_LAB_SOAK_TARGET_RECORDER_H_
#define WALNUTSPUR_LAB_SOAK_TARGET_RECORDER_H_

#include "lab/fakes/http_target.h"
#include "lab/soak/record.h"

namespace walnutspur::lab::soak {

class TargetRecorder : public HttpTargetObserver {
 public:
  // `record` must outlive the recorder.
  explicit TargetRecorder(Record* record) : record_(record) {}

  void OnRequest(const HttpTarget& target, const HttpConnection& connection) override;

 private:
  Record* record_;
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_TARGET_RECORDER_H_
