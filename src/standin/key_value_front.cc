#include "standin/key_value_front.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "external/http/encoding.h"
#include "external/http/json.h"

namespace ochrespring::standin {

using external::Json;
using external::KeyVersion;
using external::LeaseId;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kMethodNotAllowed = 405;
constexpr std::uint16_t kTooLarge = 413;
constexpr std::uint64_t kLongestWatchMilliseconds = 60'000;
constexpr std::int64_t kLongestLeaseMilliseconds = 3'600'000;
constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/leases/";
constexpr std::string_view kRenew = "/renew";

Json entries_json(const std::vector<external::KeyValueEntry>& entries) {
  Json list = Json::array();
  for (const auto& entry : entries) {
    list.push_back(external::json_of(entry));
  }
  return list;
}

std::optional<std::string> key_of(const http::Request& request) {
  if (!request.path.starts_with(kKeyPath)) {
    return std::string();
  }
  return external::percent_decode(std::string_view(request.path).substr(kKeyPath.size()));
}

struct PutBody {
  std::string value;
  KeyVersion expected;
  std::optional<LeaseId> lease;
};

std::optional<PutBody> put_body_of(const Json& json) {
  try {
    auto value = external::base64_decode(json.at("value").get<std::string>());
    if (!value) {
      return std::nullopt;
    }
    PutBody body{std::move(*value), KeyVersion(json.at("expected").get<std::uint64_t>()), {}};
    if (json.contains("lease")) {
      body.lease = LeaseId(json.at("lease").get<std::uint64_t>());
    }
    return body;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::optional<LeaseId> lease_in(std::string_view text) {
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return LeaseId(number);
}

}  // namespace

KeyValueFront::KeyValueFront(http::EventLoop& loop, const Clock& clock,
                             const KeyValueFrontSettings& settings)
    : loop_(loop),
      table_(clock, settings.table),
      front_(loop, settings.listen, settings.fault_seed),
      expiry_(loop) {
  const auto bind =
      [this](void (KeyValueFront::*handler)(const http::Request&, const WriterPointer&)) {
        return [this, handler](const http::Request& request, const WriterPointer& response) {
          if (admit(response)) {
            (this->*handler)(request, response);
            after_change();
          }
        };
      };
  front_.route("/v1/kv", bind(&KeyValueFront::handle_key));
  front_.route("/v1/leases", bind(&KeyValueFront::handle_lease));
  front_.route("/v1/watch", bind(&KeyValueFront::handle_watch));
  front_.on_faults_changed([this] {
    if (front_.faults().settings().down) {
      drop_waiting();
    }
  });
  front_.add_action("backup", [this] { backup_ = table_.backup(); });
  front_.add_action("restore", [this] {
    table_.restore(backup_);
    after_change();
  });
}

bool KeyValueFront::admit(const WriterPointer& response) {
  if (table_.admit()) {
    return true;
  }
  answer_rate_limited(response, table_.retry_after());
  return false;
}

void KeyValueFront::handle_key(const http::Request& request, const WriterPointer& response) {
  const std::optional<std::string> key = key_of(request);
  if (!key) {
    answer_error(response, kBadRequest, "malformed", "the key's escapes are broken");
  } else if (request.method == "GET") {
    handle_get(request, *key, response);
  } else if (key->empty()) {
    answer_error(response, kBadRequest, "malformed", "a key is needed");
  } else if (request.method == "PUT") {
    handle_put(request, *key, response);
  } else if (request.method == "DELETE") {
    handle_delete(request, *key, response);
  } else {
    answer_error(response, kMethodNotAllowed, "method", "use GET, PUT or DELETE");
  }
}

void KeyValueFront::handle_get(const http::Request& request, const std::string& key,
                               const WriterPointer& response) {
  if (key.empty()) {
    const std::string prefix = external::query_parameter(request.query, "prefix").value_or("");
    answer_json(response, kOk, {{"entries", entries_json(table_.list(prefix))}});
    return;
  }
  const auto entry = table_.get(key);
  if (!entry) {
    answer_error(response, kNotFound, "not_found", "no such key");
    return;
  }
  answer_json(response, kOk, external::json_of(*entry));
}

void KeyValueFront::handle_put(const http::Request& request, const std::string& key,
                               const WriterPointer& response) {
  const auto json = read_json(request, response);
  if (!json) {
    return;
  }
  const auto body = put_body_of(*json);
  if (!body) {
    answer_error(response, kBadRequest, "malformed",
                 "needs value (base64) and expected (a version)");
    return;
  }
  const auto swapped = table_.compare_and_swap(key, body->expected, body->value, body->lease);
  if (swapped.has_value()) {
    answer_json(response, kOk, external::json_of(swapped.value()));
    return;
  }
  const bool lapsed = swapped.error().code == KeyValueTable::Errc::kUnknownLease;
  answer_error(response, lapsed ? kNotFound : kTooLarge, lapsed ? "unknown_lease" : "too_large",
               swapped.error().message);
}

void KeyValueFront::handle_delete(const http::Request& request, const std::string& key,
                                  const WriterPointer& response) {
  const auto expected = external::query_number(request.query, "expected");
  if (!expected) {
    answer_error(response, kBadRequest, "malformed", "needs expected (a version)");
    return;
  }
  const auto swapped = table_.compare_and_delete(key, KeyVersion(*expected));
  answer_json(response, kOk, external::json_of(swapped));
}

void KeyValueFront::handle_lease(const http::Request& request, const WriterPointer& response) {
  std::string_view rest = request.path;
  if (!rest.starts_with(kLeasePath)) {
    grant_lease(request, response);
    return;
  }
  rest.remove_prefix(kLeasePath.size());
  const bool renew = request.method == "POST" && rest.ends_with(kRenew);
  if (renew) {
    rest.remove_suffix(kRenew.size());
  }
  const auto lease = lease_in(rest);
  if (!lease || (!renew && request.method != "DELETE")) {
    answer_error(response, kBadRequest, "malformed", "use POST /v1/leases/ID/renew or DELETE");
    return;
  }
  const bool known = renew ? table_.renew_lease(*lease).has_value() : table_.revoke_lease(*lease);
  if (!known) {
    answer_error(response, kNotFound, "unknown_lease", "lease has lapsed or never was");
    return;
  }
  answer_json(response, kOk, {{"lease", lease->value()}});
}

void KeyValueFront::grant_lease(const http::Request& request, const WriterPointer& response) {
  const auto json = read_json(request, response);
  if (!json) {
    return;
  }
  const auto ttl = json->is_object() ? json->find("ttl_ms") : json->end();
  const bool valid = json->is_object() && ttl != json->end() && ttl->is_number_integer() &&
                     ttl->get<std::int64_t>() > 0 &&
                     ttl->get<std::int64_t>() <= kLongestLeaseMilliseconds;
  if (request.method != "POST" || !valid) {
    answer_error(response, kBadRequest, "malformed", "needs ttl_ms between 1 and 3600000");
    return;
  }
  const LeaseId lease = table_.grant_lease(std::chrono::milliseconds(ttl->get<std::int64_t>()));
  answer_json(response, kOk, {{"lease", lease.value()}});
}

void KeyValueFront::handle_watch(const http::Request& request, const WriterPointer& response) {
  Waiting waiting;
  waiting.number = next_waiting_++;
  waiting.prefix = external::query_parameter(request.query, "prefix").value_or("");
  waiting.position = external::query_number(request.query, "position").value_or(table_.position());
  waiting.response = response;
  const std::uint64_t wait = std::min(external::query_number(request.query, "wait_ms").value_or(0),
                                      kLongestWatchMilliseconds);
  if (answer_watch(waiting, wait == 0)) {
    return;
  }
  const std::uint64_t number = waiting.number;
  response->on_closed([this, number] {
    std::erase_if(waiting_, [number](const Waiting& held) { return held.number == number; });
  });
  waiting_.push_back(std::move(waiting));
  loop_.schedule_after(std::chrono::milliseconds(wait), [this, number] { end_wait(number); });
}

void KeyValueFront::end_wait(std::uint64_t number) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [number](const Waiting& waiting) { return waiting.number == number; });
  if (found != waiting_.end()) {
    Waiting ended = std::move(*found);
    waiting_.erase(found);
    answer_watch(ended, true);
  }
}

bool KeyValueFront::answer_watch(Waiting& waiting, bool ended) {
  ChangeBatch batch = table_.changes_after(waiting.prefix, waiting.position);
  std::erase_if(batch.changes, [this](const external::KeyValueEntry&) {
    return front_.faults().draw_lost_watch_event();
  });
  waiting.position = batch.compacted ? waiting.position : batch.position;
  if (!ended && !batch.compacted && batch.changes.empty()) {
    return false;
  }
  answer_json(waiting.response, kOk,
              {{"position", batch.position},
               {"compacted", batch.compacted},
               {"changes", entries_json(batch.changes)}});
  return true;
}

void KeyValueFront::after_change() {
  const auto next_lapse = table_.expire();
  waiting_.remove_if([this](Waiting& waiting) { return answer_watch(waiting, false); });
  if (next_lapse) {
    expiry_.arm(*next_lapse, [this] { after_change(); });
  } else {
    expiry_.disarm();
  }
}

void KeyValueFront::drop_waiting() {
  std::list<Waiting> dropped;
  dropped.swap(waiting_);
  for (const Waiting& waiting : dropped) {
    waiting.response->abort();
  }
}

}  // namespace ochrespring::standin
