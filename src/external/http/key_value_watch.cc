#include "external/http/key_value_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "external/http/encoding.h"
#include "external/http/errors.h"
#include "external/http/json.h"

namespace ochrespring::external {

namespace {

constexpr double kBackoffJitter = 0.3;
constexpr int kBackoffGrowth = 2;

struct PollAnswer {
  std::uint64_t position = 0;
  bool compacted = false;
  std::vector<KeyValueEntry> changes;
};

std::vector<KeyValueEntry> entries_at(const Json& json, const char* field) {
  std::vector<KeyValueEntry> entries;
  for (const Json& entry : json.at(field)) {
    entries.push_back(key_value_entry_of(entry));
  }
  return entries;
}

PollAnswer poll_answer_of(const Json& json) {
  return {json.at("position").get<std::uint64_t>(), json.value("compacted", false),
          entries_at(json, "changes")};
}

}  // namespace

KeyValueWatch::KeyValueWatch(http::Client& client, TimerService& timers, RandomSource& random,
                             const HttpKeyValueSettings& settings, std::string prefix,
                             WatchObserver& observer)
    : client_(client),
      random_(random),
      settings_(settings),
      prefix_(std::move(prefix)),
      observer_(observer),
      retry_(timers),
      backoff_(settings.shortest_retry),
      self_(std::make_shared<KeyValueWatch*>(this)) {
  poll();
}

void KeyValueWatch::fetch(const std::string& path, Duration timeout,
                          void (KeyValueWatch::*done)(const Fetched&)) {
  http::ClientRequest request;
  request.endpoint = settings_.endpoint;
  request.path = path;
  request.timeout = timeout;
  const std::weak_ptr<KeyValueWatch*> self = self_;
  client_.fetch(std::move(request), [self, done](const Fetched& fetched) {
    if (const auto alive = self.lock()) {
      ((*alive)->*done)(fetched);
    }
  });
}

void KeyValueWatch::poll() {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.watch_wait).count();
  std::string path =
      "/v1/watch?prefix=" + percent_encode(prefix_) + "&wait_ms=" + std::to_string(wait);
  if (position_) {
    path += "&position=" + std::to_string(*position_);
  }
  fetch(path, settings_.watch_wait + settings_.timeout, &KeyValueWatch::on_polled);
}

void KeyValueWatch::on_polled(const Fetched& fetched) {
  const auto answer = read_answer<PollAnswer>(fetched, poll_answer_of);
  if (answer.has_error()) {
    retry_later();
    return;
  }
  backoff_ = settings_.shortest_retry;
  position_ = answer.value().position;
  if (answer.value().compacted) {
    list();
    return;
  }
  const std::weak_ptr<KeyValueWatch*> self = self_;
  for (const KeyValueEntry& change : answer.value().changes) {
    observer_.on_change(change);
    if (self.expired()) {
      return;  // The observer ended the watch.
    }
  }
  poll();
}

void KeyValueWatch::list() {
  fetch("/v1/kv?prefix=" + percent_encode(prefix_), settings_.timeout, &KeyValueWatch::on_listed);
}

void KeyValueWatch::on_listed(const Fetched& fetched) {
  const auto entries = read_answer<std::vector<KeyValueEntry>>(
      fetched, [](const Json& json) { return entries_at(json, "entries"); });
  if (entries.has_error()) {
    position_ = 0;  // Not kept by the service: the next poll leads here again.
    retry_later();
    return;
  }
  const std::weak_ptr<KeyValueWatch*> self = self_;
  for (const KeyValueEntry& entry : entries.value()) {
    observer_.on_change(entry);
    if (self.expired()) {
      return;
    }
  }
  poll();
}

void KeyValueWatch::retry_later() {
  retry_.arm(random_.jitter(backoff_, kBackoffJitter), [this] { poll(); });
  backoff_ = std::min(backoff_ * kBackoffGrowth, settings_.longest_retry);
}

}  // namespace ochrespring::external
