#include "engine_profiles/service_paces.h"

#include <algorithm>

#include "engine_profiles/half_life.h"

namespace ochrespring::engine_profiles {

ServicePaces::ServicePaces() : counts_(std::make_tuple(Axis(kBins, kMinPace, kMaxPace))) {}

void ServicePaces::add(double pace, MonotonicTime now) {
  const auto decay_factor = static_cast<float>(weight_at_age(now - decayed_at_));
  for (float& count : boost::histogram::unsafe_access::storage(counts_)) {
    count *= decay_factor;
  }
  decayed_at_ = now;
  counts_(pace);
}

double ServicePaces::share_slower_than(double factor, MonotonicTime now) const {
  const Axis& axis = counts_.axis();
  double all = 0;
  double slower = 0;
  for (int bin = -1; bin <= axis.size(); ++bin) {
    const double low = bin < 0 ? 0 : axis.value(bin);
    const double high = bin < axis.size() ? axis.value(bin + 1) : std::max(factor, low) * 2;
    all += counts_.at(bin);
    // The bin that contains the factor counts with the share of it that lies above the factor.
    slower += counts_.at(bin) * std::clamp((high - factor) / (high - low), 0.0, 1.0);
  }
  const double decay_factor = weight_at_age(now - decayed_at_);
  return slower * decay_factor / (all * decay_factor + kPriorReports);
}

}  // namespace ochrespring::engine_profiles
