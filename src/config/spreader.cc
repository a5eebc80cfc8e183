#include "config/spreader.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "wire/codec.h"

namespace ochrespring::config {

namespace {
constexpr double kJitter = 0.3;
constexpr std::size_t kFarNeighbours = 3;
constexpr std::size_t kExtraRumorRounds = 1;
constexpr std::size_t kStartRounds = 3;
constexpr std::size_t kPeersHeardAtLeast = 3;
constexpr Duration kHeardLately = std::chrono::seconds(15);
}  // namespace

void Spreader::start() {
  started_ = clock_.now();
  rumor_rounds_left_ = kStartRounds;
  rumor_timer_.arm(random_.jitter(settings_.rumor_interval, kJitter), [this] { run_rumor(); });
  announce_timer_.arm(random_.jitter(settings_.announce_interval, kJitter),
                      [this] { run_announcement(); });
}

void Spreader::on_new_revision() {
  const double count = static_cast<double>(members_.members().size() + 1);
  // With a fanout of three, a quarter of log2(n) rounds each from every informed node reaches all
  // with high probability; anti-entropy brings the rest.
  const double rounds = std::ceil(std::log2(count) / 4.0);
  rumor_rounds_left_ = static_cast<std::size_t>(rounds) + kExtraRumorRounds;
  whole_document_needed_ = false;
  fetch_sent_.reset();
  if (!rumor_timer_.armed()) {
    run_rumor();
  }
}

void Spreader::run_rumor() {
  if (rumor_rounds_left_ == 0) {
    return;
  }
  --rumor_rounds_left_;
  for (const Endpoint& peer : sample(settings_.rumor_fanout)) {
    ++statistics_.announcements;
    send(peer, Announce{documents_.revision()});
  }
  rumor_timer_.arm(random_.jitter(settings_.rumor_interval, kJitter), [this] { run_rumor(); });
}

void Spreader::run_announcement() {
  refresh_neighbours();
  server_.release(clock_.now());
  for (const Endpoint& peer : sample(1)) {
    ++statistics_.announcements;
    send(peer, Announce{documents_.revision()});
  }
  announce_timer_.arm(random_.jitter(settings_.announce_interval, kJitter),
                      [this] { run_announcement(); });
}

void Spreader::refresh_neighbours() {
  if (neighbours_version_ == members_.version()) {
    return;
  }
  neighbours_version_ = members_.version();
  const std::vector<membership::Member> members = members_.members();
  neighbours_ = membership::neighbours_of(members_.self(), members, kFarNeighbours);
  std::set<Endpoint> living;
  for (const membership::Member& member : members) {
    living.insert(member.peer);
  }
  std::erase_if(heard_, [&](const auto& entry) { return !living.contains(entry.first); });
}

std::vector<Endpoint> Spreader::sample(std::size_t count) {
  refresh_neighbours();
  std::vector<Endpoint> chosen;
  const auto take = [&](const std::vector<membership::Member>& from) {
    if (!from.empty()) {
      chosen.push_back(from[random_.below(from.size())].peer);
    }
  };
  for (std::size_t i = 0; i < count; ++i) {
    // One in three goes to another zone.
    const bool far = neighbours_.near.empty() || random_.below(3) == 0;
    take(far && !neighbours_.far.empty() ? neighbours_.far : neighbours_.near);
  }
  return chosen;
}

std::optional<Revision> Spreader::heard_revision(const Endpoint& peer) const {
  const auto found = heard_.find(peer);
  return found == heard_.end() ? std::nullopt : std::optional(found->second);
}

void Spreader::on_message(const Endpoint& from, std::string_view payload) {
  const auto message = wire::decode<Message>(payload);
  if (message.has_error()) {
    ++statistics_.malformed_messages;
    return;
  }
  std::visit([&](const auto& alternative) { on(from, alternative); }, message.value());
}

bool Spreader::current() const {
  const MonotonicTime now = clock_.now();
  const std::size_t others = members_.members().size() - 1;
  if (others == 0) {
    return now - started_ >= settings_.start_delay;
  }
  std::size_t told = 0;
  for (const auto& [peer, revision] : heard_) {
    ++told;
    if (revision > documents_.revision()) {
      return false;
    }
  }
  return told >= std::min(others, kPeersHeardAtLeast) && now - last_heard_ <= kHeardLately;
}

void Spreader::on(const Endpoint& from, const Announce& message) {
  heard_[from] = message.revision;
  last_heard_ = clock_.now();
  // A node that starts learns from the answer that its peer knows no more.
  const bool starting = message.revision == Revision() && documents_.revision() == Revision();
  if (starting && !message.is_answer) {
    send(from, Announce{documents_.revision(), true});
  }
  if (message.revision < documents_.revision()) {
    send(from, Announce{documents_.revision(), true});
  } else if (message.revision > documents_.revision()) {
    fetch_from(from);
  }
}

void Spreader::fetch_from(const Endpoint& from) {
  const MonotonicTime now = clock_.now();
  const bool fetching = fetch_sent_ && now - *fetch_sent_ < settings_.fetch_timeout;
  const bool downloading =
      download_ && now - download_->last_progress() < 3 * settings_.fetch_timeout;
  if (fetching || downloading) {
    return;
  }
  download_.reset();
  fetch_sent_ = now;
  send(from, Fetch{whole_document_needed_ ? Revision() : documents_.revision()});
}

void Spreader::on(const Endpoint& from, const Fetch& message) {
  if (message.have >= documents_.revision()) {
    return;
  }
  const auto deltas = documents_.deltas_since(message.have);
  if (deltas) {
    const Message answer = Deltas{*deltas};
    std::string bytes = wire::encode(answer);
    if (bytes.size() <= settings_.delta_answer_bytes) {
      statistics_.deltas_sent += deltas->size();
      transport_.send(from, peer::Channel::kConfig, std::move(bytes));
      return;
    }
  }
  ++statistics_.documents_sent;
  send(from, server_.offer(clock_.now()));
}

void Spreader::on(const Endpoint& from, const Deltas& message) {
  fetch_sent_.reset();
  for (const DocumentDelta& delta : message.deltas) {
    if (delta.to <= documents_.revision()) {
      continue;
    }
    const auto adopted = documents_.adopt(delta);
    if (adopted.has_error()) {
      ++statistics_.mismatches;
      whole_document_needed_ = true;
      fetch_from(from);
      return;
    }
    ++statistics_.deltas_received;
  }
}

void Spreader::on(const Endpoint& from, const DocumentOffer& message) {
  fetch_sent_.reset();
  if (message.revision <= documents_.revision() || download_) {
    return;
  }
  download_.emplace(from, message, clock_.now());
  ask_for_part();
}

void Spreader::ask_for_part() {
  if (!download_) {
    return;
  }
  const Duration idle = clock_.now() - download_->last_progress();
  const bool overtaken = download_->revision() <= documents_.revision();
  if (overtaken || idle >= 3 * settings_.fetch_timeout) {
    download_.reset();
    return;
  }
  send(download_->from(), download_->next());
  // Asked again if the answer does not come.
  pace_timer_.arm(settings_.fetch_timeout, [this] { ask_for_part(); });
}

void Spreader::on(const Endpoint& from, const PartRequest& message) {
  auto part = server_.part(message, clock_.now());
  if (part) {
    send(from, std::move(*part));
  }
}

void Spreader::on(const Endpoint& from, const Part& message) {
  if (!download_ || from != download_->from()) {
    return;
  }
  download_->take(message, clock_.now());
  if (download_->complete()) {
    finish_download();
    return;
  }
  pace_timer_.arm(settings_.transfer_pace, [this] { ask_for_part(); });
}

void Spreader::finish_download() {
  pace_timer_.disarm();
  auto document = download_->open();
  download_.reset();
  if (document.has_error()) {
    const bool newer = document.error().code == ConfigErrc::kUnsupportedFormat;
    ++(newer ? statistics_.unsupported : statistics_.malformed_messages);
    return;
  }
  ++statistics_.documents_received;
  documents_.adopt(std::move(document).value());
}

void Spreader::send(const Endpoint& to, const Message& message) {
  transport_.send(to, peer::Channel::kConfig, wire::encode(message));
}

}  // namespace ochrespring::config
