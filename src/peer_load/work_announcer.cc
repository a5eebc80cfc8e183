#include "peer_load/work_announcer.h"

#include <utility>

namespace ochrespring::peer_load {

WorkAnnouncer::WorkAnnouncer(TimerService& timers, WorkAnnouncerOptions options, WorkOf work_of,
                             Send send)
    : batch_window_(options.batch_window),
      refreshes_(options.refresh),
      work_of_(std::move(work_of)),
      send_(std::move(send)),
      batch_timer_(timers),
      refresh_timer_(timers) {
  report_.node = std::move(options.node);
  report_.incarnation = options.incarnation;
}

void WorkAnnouncer::note_change(const gateway::BackendId& engine) {
  changed_.insert(engine);
  if (!batch_timer_.armed()) {
    batch_timer_.arm(batch_window_, [this] { announce(); });
  }
}

void WorkAnnouncer::note_unresponsive(const gateway::BackendId& engine) {
  unresponsive_.insert(engine);
  note_change(engine);
}

void WorkAnnouncer::note_attempt_ends(const gateway::BackendId& engine, std::uint32_t ended,
                                      std::uint32_t failed) {
  AttemptEnds& ends = attempt_ends_[engine];
  ends.ended += ended;
  ends.failed += failed;
}

void WorkAnnouncer::note_prefilled_parts(const gateway::BackendId& engine,
                                         const std::vector<std::uint64_t>& keys) {
  auto& parts = prefilled_parts_[engine];
  parts.insert(parts.end(), keys.begin(), keys.end());
  note_change(engine);
}

void WorkAnnouncer::note_report(const WorkReport& report) {
  for (const EngineWork& work : report.engines) {
    if (work.unresponsive) {
      unresponsive_.insert(work.engine);
    }
    if (work.ended_attempts != 0) {
      note_attempt_ends(work.engine, work.ended_attempts, work.failed_attempts);
    }
    note_prefilled_parts(work.engine, work.prefilled_parts);
  }
}

void WorkAnnouncer::announce() {
  for (const gateway::BackendId& engine : std::exchange(changed_, {})) {
    EngineWork work = work_at(engine);
    work.unresponsive = unresponsive_.erase(engine) != 0;
    if (const auto ends = attempt_ends_.extract(engine)) {
      work.ended_attempts = ends.mapped().ended;
      work.failed_attempts = ends.mapped().failed;
    }
    if (auto parts = prefilled_parts_.extract(engine)) {
      work.prefilled_parts = std::move(parts.mapped());
    }
    if (work.requests == 0) {
      engines_in_use_.erase(engine);
    } else {
      engines_in_use_.insert(engine);
    }
    append(std::move(work), send_);
  }
  flush(send_);
  if (refreshes_ && !engines_in_use_.empty() && !refresh_timer_.armed()) {
    refresh_timer_.arm(kRefreshInterval, [this] { refresh(); });
  }
}

void WorkAnnouncer::send_cached_parts(const gateway::LoadTable& loads, MonotonicTime now,
                                      const Send& send) {
  for (const auto& [engine, load] : loads.all()) {
    EngineWork work = work_at(engine);
    work.prefilled_parts = load.cached_part_keys(now);
    if (!work.prefilled_parts.empty()) {
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
  work.pending_prefill_tokens = now.pending_prefill_tokens;
  return work;
}

void WorkAnnouncer::append(EngineWork work, const Send& send) {
  while (parts_in_report_ + work.prefilled_parts.size() > kMaxPartsPerReport) {
    EngineWork piece = work;
    piece.prefilled_parts.resize(kMaxPartsPerReport - parts_in_report_);
    work.prefilled_parts.erase(
        work.prefilled_parts.begin(),
        work.prefilled_parts.begin() + static_cast<std::ptrdiff_t>(piece.prefilled_parts.size()));
    report_.engines.push_back(std::move(piece));
    flush(send);
    work.ended_attempts = 0;
    work.failed_attempts = 0;
  }
  parts_in_report_ += work.prefilled_parts.size();
  report_.engines.push_back(std::move(work));
  if (report_.engines.size() == kMaxEnginesPerReport) {
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

void WorkAnnouncer::refresh() {
  changed_.insert(engines_in_use_.begin(), engines_in_use_.end());
  if (!changed_.empty()) {
    announce();
  }
}

}  // namespace ochrespring::peer_load
