#include "http/memory_account.h"

namespace ochrespring::http {

namespace {

/// Requests up to this size count as small.
constexpr std::size_t kSmallRequestBytes = 128U << 10U;

}  // namespace

bool MemoryAccount::admits(std::size_t bytes) const {
  const std::size_t room = bytes <= kSmallRequestBytes ? limit_ / 4 * 3 : limit_ / 2;
  return accepted_ == 0 || (accepted_ <= room && bytes <= room - accepted_);
}

void MemoryAccount::resize(Kind kind, std::size_t from, std::size_t to) {
  std::size_t& bytes = of(kind);
  bytes -= from;
  bytes += to;
  if (kind == Kind::kAccepted) {
    accepted_requests_ += (to != 0 ? 1 : 0);
    accepted_requests_ -= (from != 0 ? 1 : 0);
  }
}

std::size_t& MemoryAccount::of(Kind kind) {
  switch (kind) {
    case Kind::kReading:
      return reading_;
    case Kind::kAccepted:
      return accepted_;
    case Kind::kAnswers:
      break;
  }
  return answers_;
}

}  // namespace ochrespring::http
