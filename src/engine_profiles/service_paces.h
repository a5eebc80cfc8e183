// How often engines of one service are slower than usual, by the paces they report.
#pragma once

#include <boost/histogram.hpp>
#include <tuple>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// A histogram whose counts halve within kSampleHalfLife. Pure.
class ServicePaces {
 public:
  ServicePaces();

  void add(double pace, MonotonicTime now);
  /// Share of reports of a pace above `factor`, 0 to 1; 0 without reports.
  double share_slower_than(double factor, MonotonicTime now) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<float>>;

  /// Paces from 0.25 to 16 in steps of 4%; all others share two bins.
  static constexpr double kMinPace = 0.25;
  static constexpr double kMaxPace = 16;
  static constexpr unsigned kBins = 96;
  /// Reports of the usual pace that are assumed at first: one slow report says little. They do not
  /// fade, so that the share sinks when reports cease.
  static constexpr double kPriorReports = 4;

  Histogram counts_;
  MonotonicTime decayed_at_{};
};

}  // namespace ochrespring::engine_profiles
