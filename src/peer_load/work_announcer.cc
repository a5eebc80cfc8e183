#include "peer_load/work_announcer.h"

#include <utility>

namespace ochrespring::peer_load {

WorkAnnouncer::WorkAnnouncer(TimerService& timers, WorkAnnouncerOptions options, WorkOf work_of,
                             Send send)
    : gather_time_(options.gather),
      repeats_(options.repeat),
      work_of_(std::move(work_of)),
      send_(std::move(send)),
      gather_(timers),
      repeat_(timers) {
  report_.node = std::move(options.node);
  report_.life = options.life;
}

void WorkAnnouncer::note_change(const gateway::BackendId& engine) {
  changed_.insert(engine);
  if (!gather_.armed()) {
    gather_.arm(gather_time_, [this] { announce(); });
  }
}

void WorkAnnouncer::note_silence(const gateway::BackendId& backend) {
  silent_.insert(backend);
  note_change(backend);
}

void WorkAnnouncer::note_ends(const gateway::BackendId& engine, std::uint32_t ended,
                              std::uint32_t failed) {
  Ends& ends = ends_[engine];
  ends.ended += ended;
  ends.failed += failed;
}

void WorkAnnouncer::note_parts(const gateway::BackendId& engine,
                               const std::vector<std::uint64_t>& keys) {
  auto& parts = parts_[engine];
  parts.insert(parts.end(), keys.begin(), keys.end());
  note_change(engine);
}

void WorkAnnouncer::note_report(const WorkReport& report) {
  for (const EngineWork& work : report.engines) {
    if (work.silent) {
      silent_.insert(work.engine);
    }
    if (work.ended != 0) {
      note_ends(work.engine, work.ended, work.failed);
    }
    note_parts(work.engine, work.parts_read);
  }
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
  if (repeats_ && !busy_.empty() && !repeat_.armed()) {
    repeat_.arm(kRepeat, [this] { repeat(); });
  }
}

void WorkAnnouncer::tell_all(const gateway::LoadTable& loads, MonotonicTime now, const Send& send) {
  for (const auto& [engine, load] : loads.all()) {
    EngineWork work = work_at(engine);
    work.parts_read = load.cached_part_keys(now);
    if (!work.parts_read.empty()) {
      append(std::move(work), send);
    }
  }
  flush(send);
}

EngineWork WorkAnnouncer::work_at(const gateway::BackendId& engine) const {
  const gateway::EngineWorkload now = work_of_(engine);
  EngineWork work;
  work.engine = engine;
  work.requests = now.requests;
  work.unread_tokens = now.pending_prefill_tokens;
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
  if (report_.engines.size() == kMostEngines) {
    flush(send);
  }
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
