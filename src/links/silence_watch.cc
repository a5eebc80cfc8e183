#include "links/silence_watch.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ochrespring::links {

namespace {

using std::chrono::milliseconds;

/// Silence after which links are checked. Answers of a busy node arrive far more often.
constexpr Duration kMinSilence = milliseconds(250);
constexpr Duration kMaxInterval = milliseconds(2000);

}  // namespace

SilenceWatch::ExchangeId SilenceWatch::begin(const Endpoint& backend) {
  waiting_.emplace(next_, Waiting{backend, clock_.now()});
  if (!timer_.armed()) {
    interval_ = Duration::zero();
    schedule(kMinSilence);
  }
  return next_++;
}

void SilenceWatch::note_heard() {
  heard_at_ = clock_.now();
}

void SilenceWatch::schedule(Duration delay) {
  timer_.arm(delay, [this] { on_timer(); });
}

void SilenceWatch::on_timer() {
  if (waiting_.empty()) {
    return;
  }
  MonotonicTime waits_since = MonotonicTime::max();
  for (const auto& [id, waiting] : waiting_) {
    waits_since = std::min(waits_since, waiting.since);
  }
  const Duration silence = clock_.now() - std::max(waits_since, heard_at_);
  if (silence < kMinSilence) {
    interval_ = Duration::zero();
    schedule(kMinSilence - silence);
    return;
  }
  interval_ = std::clamp<Duration>(2 * interval_, kMinSilence, kMaxInterval);
  schedule(interval_);
  const auto chosen =
      std::next(waiting_.begin(), static_cast<std::ptrdiff_t>(random_.below(waiting_.size())));
  on_silence_(Endpoint(chosen->second.backend));
}

}  // namespace ochrespring::links
