#include "fuzz/shrink.h"

#include <algorithm>

namespace ochrespring::fuzz {
namespace {

History without(const History& history, std::size_t begin, std::size_t end) {
  History shorter = history;
  const auto first = shorter.steps.begin();
  shorter.steps.erase(first + static_cast<std::ptrdiff_t>(begin),
                      first + static_cast<std::ptrdiff_t>(end));
  return shorter;
}

}  // namespace

History shrink(History history, const StillFails& still_fails, std::uint32_t largest_runs) {
  std::uint32_t runs = 0;
  std::size_t length = std::max<std::size_t>(history.steps.size() / 2, 1);
  while (runs < largest_runs && !history.steps.empty()) {
    bool removed = false;
    // From the end: later steps more often do not matter.
    for (std::size_t end = history.steps.size(); end > 0 && runs < largest_runs;) {
      const std::size_t begin = end > length ? end - length : 0;
      History candidate = without(history, begin, end);
      ++runs;
      if (still_fails(candidate)) {
        history = std::move(candidate);
        removed = true;
      }
      end = begin;
    }
    if (length > 1) {
      length = std::max<std::size_t>(length / 2, 1);
    } else if (!removed) {
      break;
    }
  }
  return history;
}

}  // namespace ochrespring::fuzz
