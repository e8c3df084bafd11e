// Sets up the scrub: the request class, plan and cursors that it starts with.
//
// Called once, while the Initiator is constructed and before the Scheduler receives its settings.
#ifndef WALNUTSPUR_APP_SCRUB_SETUP_H_
#define WALNUTSPUR_APP_SCRUB_SETUP_H_

#include "checksummed/corruption_tracker.h"
#include "checksummed/scrub.h"
#include "nbd/config.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::app {

// Appends a request class and a plan for the scrub to `settings`; they have no names, so that clients cannot
// use them. Returns `options` with both, and with the cursors that are stored beside the corruption log.
checksummed::ScrubOptions SetUpScrub(checksummed::ScrubOptions options, const nbd::Config& nbd,
                                     checksummed::CorruptionTracker* corruption,
                                     walnutspur::Settings* settings);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_SCRUB_SETUP_H_
