#include "config/service_reader.h"

#include <algorithm>

#include "base/hash.h"

namespace ochrespring::config {

namespace {
constexpr double kJitter = 0.2;
constexpr Duration kRoleCheckInterval = std::chrono::seconds(1);
}  // namespace

void ServiceReader::start() {
  started_ = clock_.now();
  next_poll_ = started_;
  timer_.arm(random_.jitter(kRoleCheckInterval, kJitter), [this] { run(); });
}

void ServiceReader::run() {
  const MonotonicTime now = clock_.now();
  timer_.arm(random_.jitter(kRoleCheckInterval, kJitter), [this] { run(); });
  const bool settled = now - started_ >= settings_.start_delay;
  if (!settled || !chosen()) {
    watch_.reset();
    return;
  }
  if (watch_ == nullptr) {
    watch_ = store_.watch(kHeadKey, *this);
    next_poll_ = now;
  }
  if (now >= next_poll_) {
    next_poll_ = now + random_.jitter(settings_.poll_interval, kJitter);
    poll();
  }
}

bool ServiceReader::chosen() const {
  const membership::Member& self = members_.self();
  const std::uint64_t own = rendezvous_weight("config-reader", self.node.value());
  std::size_t ahead = 0;
  for (const membership::Member& member : members_.members()) {
    const bool rival = member.region == self.region && member.node != self.node &&
                       member.state != membership::MemberState::kLeaving;
    if (rival && rendezvous_weight("config-reader", member.node.value()) > own) {
      ++ahead;
    }
  }
  return ahead < settings_.readers_per_region;
}

void ServiceReader::poll() {
  ++statistics_.polls;
  heads_.read([this](auto result) { on_head(result); });
}

void ServiceReader::on_change(const external::KeyValueEntry& entry) {
  if (entry.key != kHeadKey || entry.version == external::KeyVersion()) {
    return;
  }
  ++statistics_.watch_events;
  const auto head = open_head(entry);
  if (head.has_value()) {
    heads_.follow(head.value().head, [](const auto& /*followed*/) {});
  }
}

void ServiceReader::on_head(const Result<VersionedHead, ConfigError>& result) {
  if (result.has_error()) {
    const bool newer = result.error().code == ConfigErrc::kUnsupportedFormat;
    ++(newer ? statistics_.unsupported : statistics_.failures);
    reachable_ = newer;
    return;
  }
  reachable_ = true;
  const VersionedHead& head = result.value();
  if (heads_.behind(head.head)) {
    on_older(head);
    return;
  }
  older_version_ = external::KeyVersion();
  heads_.follow(head.head, [this](const auto& followed) {
    statistics_.failures += followed.has_error() ? 1 : 0;
  });
}

void ServiceReader::on_older(const VersionedHead& head) {
  // One older answer may have been overtaken by a commit on its way; the same version at two polls
  // in a row was not.
  const bool confirmed = head.version == older_version_ && older_version_ != external::KeyVersion();
  const bool vanished = head.version == external::KeyVersion();
  older_version_ = head.version;
  if ((!confirmed && !vanished) || writing_back_) {
    next_poll_ = std::min(next_poll_, clock_.now() + kRoleCheckInterval);
    return;
  }
  ++statistics_.service_older;
  logger_.write({logging::Level::kError,
                 "config",
                 "the key-value service holds an older configuration than was accepted; writing "
                 "the newer one back",
                 {{"revision", documents_.revision().value()},
                  {"service_revision", head.head.revision.value()}}});
  writing_back_ = true;
  heads_.write_back(head, [this](const auto& written) {
    writing_back_ = false;
    statistics_.write_backs += written.has_value() ? 1 : 0;
  });
}

}  // namespace ochrespring::config
