// How often engines of one service are slower than usual, according to the paces they report.
#pragma once

#include <boost/histogram.hpp>
#include <tuple>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// A histogram of paces (see PaceHistory) whose counts decay with the half-life kSampleHalfLife.
/// Performs no I/O and uses no timers.
class ServicePaces {
 public:
  ServicePaces();

  void add(double pace, MonotonicTime now);
  /// Returns the share of reports with a pace above `factor`, from 0 to 1; 0 without reports.
  double share_slower_than(double factor, MonotonicTime now) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<float>>;

  /// Paces from 0.25 to 16 in steps of 4%; values outside fall into an underflow and an overflow
  /// bin.
  static constexpr double kMinPace = 0.25;
  static constexpr double kMaxPace = 16;
  static constexpr unsigned kBins = 96;
  /// Number of reports of the usual pace that are assumed initially, since one slow report has
  /// little significance. They do not decay, so that the share decreases when no more reports
  /// arrive.
  static constexpr double kPriorReports = 4;

  Histogram counts_;
  MonotonicTime decayed_at_{};
};

}  // namespace ochrespring::engine_profiles
