#include "limits/abandonment_estimate.h"

namespace walnutspur::limits {
namespace {

constexpr double kFades = 5e6;      // us over which clients are counted
constexpr double kStayers = 3;      // clients taken to have stayed at each age: one that leaves tells nothing
constexpr double kImpatient = 0.5;  // part of the clients that must be gone for their age to count

}  // namespace

void AbandonmentEstimate::Record(double age, bool left, Time now) {
  const double place = age * kAges;
  for (std::size_t i = 0; i < kAges && static_cast<double>(i) <= place; ++i) {
    ages_[i].reached.Add(1, now, kFades);
    if (!left || place >= static_cast<double>(i + 1)) continue;
    ages_[i].left.Add(1, now, kFades);
    ages_[i].sum.Add(age, now, kFades);
  }
}

double AbandonmentEstimate::SafeFraction(Time now) const {
  double stay = 1;
  for (const Age& age : ages_) {
    const double left = age.left.Now(now, kFades);
    stay *= 1 - left / (kStayers + age.reached.Now(now, kFades));
    if (1 - stay > kImpatient) return age.sum.Now(now, kFades) / left;
  }
  return 1;
}

}  // namespace walnutspur::limits
