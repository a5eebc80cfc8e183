#include "gateway_node/view_exchange.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "wire/codec.h"
#include "wire/compression.h"

namespace ochrespring::gateway_node {

namespace {

using discovery::TransferCallback;
using discovery::ViewRequest;
using discovery::ViewTransfer;

/// Identifies the format of a view. Earlier builds serve theirs at another path, because neither
/// can read the other's format.
constexpr const char* kViewPath = "/view/3";
constexpr const char* kContentType = "application/octet-stream";
/// Headers of a request: the revision after which changes are requested, its store era, and the
/// address at which the requesting node will serve its own view.
constexpr const char* kAfterHeader = "view-after";
constexpr const char* kEraHeader = "view-era";
constexpr const char* kRequesterHeader = "view-asker";
/// Header of an answer: time in microseconds for which it was cached before it was sent.
constexpr const char* kCachedTimeHeader = "view-kept-us";
constexpr Duration kRequestTimeout = std::chrono::milliseconds(800);
constexpr Duration kRequestConnectTimeout = std::chrono::milliseconds(300);
/// Time for which an encoded answer is reused: encoding 10,000 servers takes about 0.1 s on a tenth
/// of a core.
constexpr Duration kAnswerLifetime = std::chrono::milliseconds(200);
/// Number of nodes named in a refusal.
constexpr std::size_t kMaxNodesNamed = 4;

/// Requests for views have no body.
constexpr std::uint64_t kMaxBodyBytes = 4U << 10U;

/// Returns the revision after which changes are requested; nothing for the complete view.
std::optional<shared_store::StoreRevision> read_after(const http::Request& request) {
  const auto after = http::parse_number(http::find_header(request.headers, kAfterHeader));
  const auto era = http::parse_number(http::find_header(request.headers, kEraHeader));
  if (!after || !era) {
    return std::nullopt;
  }
  return shared_store::StoreRevision(*after, shared_store::StoreEra(*era));
}

/// Decodes a transfer and adds the time for which the answer was cached to its age.
std::optional<ViewTransfer> read_transfer(const http::Response& answer) {
  const auto bytes = wire::decompress(answer.body);
  if (!bytes) {
    return std::nullopt;
  }
  auto transfer = wire::decode<ViewTransfer>(bytes.value());
  if (!transfer) {
    return std::nullopt;
  }
  const auto cached = http::parse_number(http::find_header(answer.head.headers, kCachedTimeHeader));
  std::visit([&](auto& content) { content.age += std::chrono::microseconds(cached.value_or(0)); },
             transfer.value());
  return std::move(transfer.value());
}

}  // namespace

ViewExchange::ViewExchange(Dependencies deps, Options options,
                           std::function<Transfer(AfterRevision)> own_view)
    : deps_(deps),
      options_(std::move(options)),
      own_view_(std::move(own_view)),
      server_(deps.loop, {.listen = options_.listen,
                          .tls = {},
                          .largest_body_bytes = kMaxBodyBytes,
                          .guard = options_.guard}),
      budget_(options_.link_mbps) {}

Result<void, http::HttpError> ViewExchange::listen() {
  if (options_.listen.empty()) {
    return outcome::success();
  }
  server_.route(kViewPath, [this](const http::Request& request, const auto& response) {
    serve(request, *response);
  });
  return server_.listen();
}

void ViewExchange::serve(const http::Request& request, http::ResponseWriter& response) {
  const CachedAnswer* answer = answer_for(read_after(request));
  const MonotonicTime now = deps_.clock.now();
  if (answer == nullptr || !budget_.admit(answer->bytes.size(), now)) {
    refuse(response);
    return;
  }
  note_served(Endpoint(std::string(http::find_header(request.headers, kRequesterHeader))));
  const auto cached = std::chrono::duration_cast<std::chrono::microseconds>(now - answer->created);
  response.respond(
      200, {{"content-type", kContentType}, {kCachedTimeHeader, std::to_string(cached.count())}},
      answer->bytes);
}

const ViewExchange::CachedAnswer* ViewExchange::answer_for(AfterRevision after) {
  const MonotonicTime now = deps_.clock.now();
  std::erase_if(cached_answers_,
                [&](const CachedAnswer& answer) { return now - answer.created > kAnswerLifetime; });
  const auto found =
      std::find_if(cached_answers_.begin(), cached_answers_.end(),
                   [&](const CachedAnswer& answer) { return answer.after == after; });
  if (found != cached_answers_.end()) {
    return &*found;
  }
  const Transfer transfer = own_view_(after);
  if (!transfer) {
    return nullptr;
  }
  if (cached_answers_.size() == kMaxCachedAnswers) {
    cached_answers_.pop_front();
  }
  cached_answers_.push_back({after, wire::compress(wire::encode(*transfer)), now});
  return &cached_answers_.back();
}

void ViewExchange::refuse(http::ResponseWriter& response) {
  std::vector<Endpoint> others(served_.begin(), served_.end());
  while (others.size() > kMaxNodesNamed) {
    const std::size_t left_out = deps_.random.below(others.size());
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(left_out));
  }
  response.respond(503, {{"content-type", kContentType}}, wire::encode(others));
}

void ViewExchange::note_served(const Endpoint& requester) {
  if (requester.empty()) {
    return;
  }
  std::erase(served_, requester);
  served_.push_front(requester);
  if (served_.size() > kMaxServed) {
    served_.pop_back();
  }
}

void ViewExchange::note_source(const Endpoint& source) {
  std::erase(sources_, source);
  sources_.push_front(source);
  if (sources_.size() > kMaxSources) {
    sources_.pop_back();
  }
  next_candidate_ = 0;
}

void ViewExchange::fetch(const std::vector<Endpoint>& others, TransferCallback done) {
  std::vector<Endpoint> candidates(sources_.begin(), sources_.end());
  candidates.insert(candidates.end(), options_.seeds.begin(), options_.seeds.end());
  if (!others.empty()) {
    candidates.push_back(others[deps_.random.below(others.size())]);
  }
  std::erase(candidates, options_.listen);
  if (candidates.empty()) {
    done(std::nullopt);
    return;
  }
  fetch_from({candidates[next_candidate_++ % candidates.size()], std::nullopt}, std::move(done));
}

void ViewExchange::fetch_from(const ViewRequest& wanted, TransferCallback done) {
  request(wanted, [this, wanted, done = std::move(done)](FetchResult first) mutable {
    std::erase(first.others, options_.listen);
    if (first.transfer || first.others.empty()) {
      done(std::move(first.transfer));
      return;
    }
    for (const Endpoint& other : first.others) {
      note_source(other);
    }
    const Endpoint& other = first.others[deps_.random.below(first.others.size())];
    request({other, wanted.after},
            [done = std::move(done)](FetchResult second) { done(std::move(second.transfer)); });
  });
}

void ViewExchange::request(const ViewRequest& wanted, std::function<void(FetchResult)> done) {
  http::ClientRequest call;
  call.endpoint = wanted.holder;
  call.path = kViewPath;
  call.timeout = kRequestTimeout;
  call.connect_timeout = kRequestConnectTimeout;
  if (wanted.after) {
    call.headers.push_back({kAfterHeader, std::to_string(wanted.after->value())});
    call.headers.push_back({kEraHeader, std::to_string(wanted.after->era().value())});
  }
  if (!options_.listen.empty()) {
    call.headers.push_back({kRequesterHeader, options_.listen.value()});
  }
  deps_.client.fetch(std::move(call), [done = std::move(done)](auto result) {
    if (!result) {
      done({});
    } else if (result.value().head.status == 200) {
      done({.transfer = read_transfer(result.value()), .others = {}});
    } else {
      auto others = wire::decode<std::vector<Endpoint>>(result.value().body);
      done(
          {.transfer = {}, .others = others ? std::move(others.value()) : std::vector<Endpoint>()});
    }
  });
}

}  // namespace ochrespring::gateway_node
