// What a back end is told to do wrong with its next answers.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace ochrespring::simulation {

enum class AnswerFaultKind : std::uint8_t {
  kTruncate,  ///< Stops half way, with a proper end of the connection's framing.
  kCross,     ///< Sends another request's answer.
  kDelay,     ///< Answers late.
  kReset,     ///< Closes the connection half way.
};

struct AnswerFault {
  AnswerFaultKind kind = AnswerFaultKind::kTruncate;
  Duration delay{};
};

/// Faults armed at one back end; each is used by one answer.
class AnswerFaults {
 public:
  void arm(AnswerFault fault) { armed_.push_back(fault); }
  void clear() { armed_.clear(); }
  std::optional<AnswerFault> take() {
    if (armed_.empty()) {
      return std::nullopt;
    }
    const AnswerFault fault = armed_.front();
    armed_.pop_front();
    return fault;
  }

 private:
  std::deque<AnswerFault> armed_;
};

}  // namespace ochrespring::simulation
