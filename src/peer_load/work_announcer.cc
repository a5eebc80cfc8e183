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

void WorkAnnouncer::note_end(const gateway::BackendId& engine, bool failed) {
  Ends& ends = ends_[engine];
  ++ends.ended;
  ends.failed += failed ? 1 : 0;
}

void WorkAnnouncer::note_parts(const gateway::BackendId& engine,
                               const std::vector<std::uint64_t>& keys) {
  auto& parts = parts_[engine];
  parts.insert(parts.end(), keys.begin(), keys.end());
  note_change(engine);
}

void WorkAnnouncer::announce() {
  for (const gateway::BackendId& engine : std::exchange(changed_, {})) {
    EngineWork work = work_at(engine);
    work.silent = silent_.erase(engine) != 0;
    if (const auto ends = ends_.extract(engine)) {
      work.ended = ends.mapped().ended;
      work.failed = ends.mapped().failed;
    }
    if (auto parts = parts_.extract(engine)) {
      work.parts_read = std::move(parts.mapped());
    }
    if (work.requests == 0) {
      busy_.erase(engine);
    } else {
      busy_.insert(engine);
    }
    append(std::move(work), send_);
  }
  flush(send_);
  if (!busy_.empty() && !repeat_.armed()) {
    repeat_.arm(kRepeat, [this] { repeat(); });
  }
}

void WorkAnnouncer::tell_all(MonotonicTime now, const Send& send) {
  for (const auto& [engine, load] : loads_.all()) {
    EngineWork work = work_at(engine);
    work.parts_read = load.held_parts(now);
    if (!work.parts_read.empty()) {
      append(std::move(work), send);
    }
  }
  flush(send);
}

EngineWork WorkAnnouncer::work_at(const gateway::BackendId& engine) const {
  const gateway::BackendLoad* load = loads_.find(engine);
  EngineWork work;
  work.engine = engine;
  if (load != nullptr) {
    work.requests = load->in_flight();
    work.unread_tokens = load->unread_tokens();
  }
  return work;
}

void WorkAnnouncer::append(EngineWork work, const Send& send) {
  while (parts_in_report_ + work.parts_read.size() > kMostParts) {
    EngineWork piece = work;
    piece.parts_read.resize(kMostParts - parts_in_report_);
    work.parts_read.erase(
        work.parts_read.begin(),
        work.parts_read.begin() + static_cast<std::ptrdiff_t>(piece.parts_read.size()));
    report_.engines.push_back(std::move(piece));
    flush(send);
    work.ended = 0;
    work.failed = 0;
  }
  parts_in_report_ += work.parts_read.size();
  report_.engines.push_back(std::move(work));
}

void WorkAnnouncer::flush(const Send& send) {
  if (report_.engines.empty()) {
    return;
  }
  ++report_.sequence;
  send(report_);
  report_.engines.clear();
  parts_in_report_ = 0;
}

void WorkAnnouncer::repeat() {
  changed_.insert(busy_.begin(), busy_.end());
  if (!changed_.empty()) {
    announce();
  }
}

}  // namespace ochrespring::peer_load
