// Tables of counters: what a component counts in a plain struct, by the names of its metrics.
#pragma once

#include <cstddef>
#include <cstdint>

#include "metrics/metrics.h"

namespace ochrespring::metrics {

/// One counter: its metric, and where it stands.
template <class Statistics>
struct CounterRow {
  const char* name;
  const char* help;
  std::uint64_t Statistics::*member;
};

template <class Statistics, std::size_t kRows>
void add_counters(const CounterRow<Statistics> (&rows)[kRows], const Statistics& counts,
                  SampleSink& sink) {
  for (const CounterRow<Statistics>& row : rows) {
    sink.counter({row.name, row.help}, static_cast<double>(counts.*row.member));
  }
}

}  // namespace ochrespring::metrics
