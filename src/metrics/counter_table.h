// Tables that map the counters in a plain struct to metrics.
#pragma once

#include <cstddef>
#include <cstdint>

#include "metrics/metrics.h"

namespace ochrespring::metrics {

/// One counter: its metric name and help text, and its struct member.
template <class Statistics>
struct CounterRow {
  const char* name;
  const char* help;
  std::uint64_t Statistics::*member;
};

/// Adds one counter per row to the sink.
template <class Statistics, std::size_t kRows>
void add_counters(const CounterRow<Statistics> (&rows)[kRows], const Statistics& counts,
                  SampleSink& sink) {
  for (const CounterRow<Statistics>& row : rows) {
    sink.counter({row.name, row.help}, static_cast<double>(counts.*row.member));
  }
}

}  // namespace ochrespring::metrics
