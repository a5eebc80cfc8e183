#include "simulation/network.h"

namespace ochrespring::simulation {
namespace {

/// How often a stalled stream tries its link again, as a transport's retransmission would.
constexpr Duration kRetransmission = std::chrono::milliseconds(200);

}  // namespace

void Network::unblock(const HostName& from, const HostName& to) {
  const auto found = blocked_.find({from, to});
  if (found != blocked_.end() && --found->second == 0) {
    blocked_.erase(found);
  }
}

Duration Network::draw_delay() {
  Duration delay = random_.jitter(quality_.base_delay, quality_.jitter);
  if (quality_.spike > 0 && random_.chance(quality_.spike)) {
    counters_.count(FaultKind::kMessageDelayed);
    delay += from_seconds(to_seconds(quality_.longest_spike) * random_.unit());
  }
  return delay;
}

void Network::send_datagram(const HostName& from, const HostName& to,
                            std::function<void()> deliver) {
  if (blocked(from, to)) {
    counters_.count(FaultKind::kMessageBlocked);
    return;
  }
  if (quality_.loss > 0 && random_.chance(quality_.loss)) {
    counters_.count(FaultKind::kMessageLost);
    return;
  }
  if (quality_.duplication > 0 && random_.chance(quality_.duplication)) {
    counters_.count(FaultKind::kMessageDuplicated);
    time_.schedule_after(draw_delay(), deliver);
  }
  time_.schedule_after(draw_delay(), std::move(deliver));
}

void StreamDirection::send(std::function<void()> deliver) {
  if (closed_) {
    return;
  }
  attempt(next_sequence_++, std::move(deliver));
}

void StreamDirection::attempt(std::uint64_t sequence, std::function<void()> deliver) {
  const bool cut = network_.blocked(from_, to_);
  if (cut) {
    network_.counters().count(FaultKind::kMessageBlocked);
  }
  const Duration delay = cut ? kRetransmission : network_.draw_delay();
  network_.time().schedule_after(
      delay, [self = shared_from_this(), sequence, cut, work = std::move(deliver)]() mutable {
        if (self->closed_) {
          return;
        }
        if (cut) {
          self->attempt(sequence, std::move(work));
          return;
        }
        self->arrived_.emplace(sequence, std::move(work));
        while (!self->closed_ && !self->arrived_.empty() &&
               self->arrived_.begin()->first == self->next_delivery_) {
          auto segment = self->arrived_.extract(self->arrived_.begin());
          ++self->next_delivery_;
          segment.mapped()();
        }
      });
}

}  // namespace ochrespring::simulation
