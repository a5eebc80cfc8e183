#include "peer_load/work_announcer.h"

#include <utility>

namespace ochrespring::peer_load {

WorkAnnouncer::WorkAnnouncer(TimerService& timers, const gateway::LoadTable& loads, NodeId node,
                             std::uint64_t life, Send send)
    : loads_(loads), send_(std::move(send)), gather_(timers), repeat_(timers) {
  report_.node = std::move(node);
  report_.life = life;
}

void WorkAnnouncer::note_change(const gateway::BackendId& engine) {
  changed_.insert(engine);
  if (!gather_.armed()) {
    gather_.arm(kGather, [this] { announce(); });
  }
}

void WorkAnnouncer::note_silence(const gateway::BackendId& backend) {
  silent_.insert(backend);
  note_change(backend);
}

void WorkAnnouncer::note_parts(const gateway::BackendId& engine,
                               const std::vector<std::uint64_t>& keys) {
  auto& parts = parts_[engine];
  parts.insert(parts.end(), keys.begin(), keys.end());
}

void WorkAnnouncer::announce() {
  report_.engines.clear();
  for (const gateway::BackendId& engine : std::exchange(changed_, {})) {
    const gateway::BackendLoad* load = loads_.find(engine);
    EngineWork work{engine, 0, 0, silent_.erase(engine) != 0, {}};
    if (const auto parts = parts_.extract(engine)) {
      work.parts_read = std::move(parts.mapped());
    }
    if (load != nullptr) {
      work.requests = load->in_flight();
      work.unread_tokens = load->unread_tokens();
    }
    if (work.requests == 0) {
      busy_.erase(engine);
    } else {
      busy_.insert(engine);
    }
    report_.engines.push_back(std::move(work));
  }
  ++report_.sequence;
  send_(report_);
  if (!busy_.empty() && !repeat_.armed()) {
    repeat_.arm(kRepeat, [this] { repeat(); });
  }
}

void WorkAnnouncer::repeat() {
  changed_.insert(busy_.begin(), busy_.end());
  if (!changed_.empty()) {
    announce();
  }
}

}  // namespace ochrespring::peer_load
