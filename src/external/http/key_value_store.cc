#include "external/http/key_value_store.h"

#include <utility>

#include "external/http/encoding.h"
#include "external/http/errors.h"
#include "external/http/json.h"
#include "external/http/key_value_watch.h"

namespace ochrespring::external {

namespace {

using Fetched = Result<http::Response, http::FetchFailure>;

std::string key_path(const std::string& key) {
  return "/v1/kv/" + percent_encode(key);
}

std::vector<KeyValueEntry> entries_of(const Json& json) {
  std::vector<KeyValueEntry> entries;
  for (const Json& entry : json.at("entries")) {
    entries.push_back(key_value_entry_of(entry));
  }
  return entries;
}

LeaseId lease_of(const Json& json) {
  return LeaseId(json.at("lease").get<std::uint64_t>());
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(http::Client& client, TimerService& timers,
                                     RandomSource& random, HttpKeyValueSettings settings)
    : client_(client), timers_(timers), random_(random), settings_(std::move(settings)) {}

http::ClientRequest HttpKeyValueStore::request(std::string method, std::string path,
                                               std::string body) const {
  http::ClientRequest request;
  request.endpoint = settings_.endpoint;
  request.method = std::move(method);
  request.path = std::move(path);
  request.body = std::move(body);
  request.timeout = settings_.timeout;
  return request;
}

void HttpKeyValueStore::get(const std::string& key,
                            ExternalCallback<std::optional<KeyValueEntry>> done) {
  client_.fetch(request("GET", key_path(key)), [done = std::move(done)](const Fetched& fetched) {
    Result<KeyValueEntry, ExternalError> entry =
        read_answer<KeyValueEntry>(fetched, key_value_entry_of);
    if (entry.has_value()) {
      done(std::optional<KeyValueEntry>(std::move(entry).value()));
    } else if (entry.error().code == ExternalErrc::kNotFound) {
      done(std::optional<KeyValueEntry>());
    } else {
      done(outcome::failure(entry.error()));
    }
  });
}

void HttpKeyValueStore::list(const std::string& prefix,
                             ExternalCallback<std::vector<KeyValueEntry>> done) {
  client_.fetch(request("GET", "/v1/kv?prefix=" + percent_encode(prefix)),
                [done = std::move(done)](const Fetched& fetched) {
                  done(read_answer<std::vector<KeyValueEntry>>(fetched, entries_of));
                });
}

void HttpKeyValueStore::compare_and_swap(const std::string& key, KeyVersion expected,
                                         const std::string& value, std::optional<LeaseId> lease,
                                         ExternalCallback<SwapOutcome> done) {
  Json body{{"value", base64_encode(value)}, {"expected", expected.value()}};
  if (lease) {
    body["lease"] = lease->value();
  }
  client_.fetch(request("PUT", key_path(key), body.dump()),
                [done = std::move(done)](const Fetched& fetched) {
                  done(read_answer<SwapOutcome>(fetched, swap_outcome_of));
                });
}

void HttpKeyValueStore::compare_and_delete(const std::string& key, KeyVersion expected,
                                           ExternalCallback<SwapOutcome> done) {
  const std::string path = key_path(key) + "?expected=" + std::to_string(expected.value());
  client_.fetch(request("DELETE", path), [done = std::move(done)](const Fetched& fetched) {
    done(read_answer<SwapOutcome>(fetched, swap_outcome_of));
  });
}

void HttpKeyValueStore::grant_lease(Duration time_to_live, ExternalCallback<LeaseId> done) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_to_live).count();
  client_.fetch(request("POST", "/v1/leases", Json{{"ttl_ms", milliseconds}}.dump()),
                [done = std::move(done)](const Fetched& fetched) {
                  done(read_answer<LeaseId>(fetched, lease_of));
                });
}

void HttpKeyValueStore::renew_lease(LeaseId lease, ExternalCallback<LeaseId> done) {
  client_.fetch(request("POST", "/v1/leases/" + std::to_string(lease.value()) + "/renew"),
                [done = std::move(done)](const Fetched& fetched) {
                  done(read_answer<LeaseId>(fetched, lease_of));
                });
}

std::unique_ptr<Watch> HttpKeyValueStore::watch(const std::string& prefix,
                                                WatchObserver& observer) {
  return std::make_unique<KeyValueWatch>(client_, timers_, random_, settings_, prefix, observer);
}

}  // namespace ochrespring::external
