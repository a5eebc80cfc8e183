#include "oracle/oracle.h"

#include <variant>

namespace ochrespring::oracle {
namespace {

/// Hands an observation to a group of checks if the group wants it.
template <class Checks, class T>
void offer(Checks& checks, const T& observation) {
  if constexpr (requires { checks.on(observation); }) {
    checks.on(observation);
  }
}

}  // namespace

void Oracle::observe(MonotonicTime at, const Observation& observation) {
  reporter_.set_time(at);
  std::visit(
      [this](const auto& event) {
        offer(orders_, event);
        offer(requests_, event);
        offer(configuration_, event);
      },
      observation);
}

}  // namespace ochrespring::oracle
