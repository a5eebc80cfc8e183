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

/// Of this form of a view; nodes of earlier builds serve theirs at another path, and neither reads
/// the other's.
constexpr const char* kPath = "/view/2";
constexpr const char* kContentType = "application/octet-stream";
/// Of a request: the revision behind which changes are asked for, with its era, and where the asker
/// serves its own view later.
constexpr const char* kAfterHeader = "view-after";
constexpr const char* kEraHeader = "view-era";
constexpr const char* kAskerHeader = "view-asker";
/// Of an answer: microseconds for which it was kept before it went out.
constexpr const char* kKeptHeader = "view-kept-us";
constexpr Duration kTimeout = std::chrono::milliseconds(800);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Askers that come so soon after another get the same bytes: encoding 10,000 servers takes some
/// 0.1 s on a tenth of a core.
constexpr Duration kKeepAnswer = std::chrono::milliseconds(200);
/// Named to an asker that is not served.
constexpr std::size_t kOthersNamed = 4;

http::ServerSettings server_at(const Endpoint& endpoint) {
  http::ServerSettings settings;
  settings.listen = endpoint;
  return settings;
}

/// What was asked for; none: the whole view.
std::optional<shared_store::StoreRevision> read_after(const http::Request& request) {
  const auto after = http::parse_number(http::find_header(request.headers, kAfterHeader));
  const auto era = http::parse_number(http::find_header(request.headers, kEraHeader));
  if (!after || !era) {
    return std::nullopt;
  }
  return shared_store::StoreRevision(*after, shared_store::StoreEra(*era));
}

/// The answer's age counts on while it is kept.
std::optional<ViewTransfer> read_transfer(const http::Response& answer) {
  const auto bytes = wire::decompress(answer.body);
  if (!bytes) {
    return std::nullopt;
  }
  auto transfer = wire::decode<ViewTransfer>(bytes.value());
  if (!transfer) {
    return std::nullopt;
  }
  const auto kept = http::parse_number(http::find_header(answer.head.headers, kKeptHeader));
  std::visit([&](auto& told) { told.age += std::chrono::microseconds(kept.value_or(0)); },
             transfer.value());
  return std::move(transfer.value());
}

}  // namespace

ViewExchange::ViewExchange(Dependencies deps, Options options,
                           std::function<Transfer(AskedAfter)> own_view)
    : deps_(deps),
      options_(std::move(options)),
      own_view_(std::move(own_view)),
      server_(deps.loop, server_at(options_.listen)),
      budget_(options_.link_mbps) {}

Result<void, http::HttpError> ViewExchange::listen() {
  if (options_.listen.empty()) {
    return outcome::success();
  }
  server_.route(kPath, [this](const http::Request& request, const auto& response) {
    serve(request, *response);
  });
  return server_.listen();
}

void ViewExchange::serve(const http::Request& request, http::ResponseWriter& response) {
  const KeptAnswer* answer = answer_for(read_after(request));
  const MonotonicTime now = deps_.clock.now();
  if (answer == nullptr || !budget_.admit(answer->bytes.size(), now)) {
    refuse(response);
    return;
  }
  note_served(Endpoint(std::string(http::find_header(request.headers, kAskerHeader))));
  const auto kept = std::chrono::duration_cast<std::chrono::microseconds>(now - answer->made);
  response.respond(200,
                   {{"content-type", kContentType}, {kKeptHeader, std::to_string(kept.count())}},
                   answer->bytes);
}

const ViewExchange::KeptAnswer* ViewExchange::answer_for(AskedAfter after) {
  const MonotonicTime now = deps_.clock.now();
  std::erase_if(kept_, [&](const KeptAnswer& kept) { return now - kept.made > kKeepAnswer; });
  const auto found = std::find_if(kept_.begin(), kept_.end(),
                                  [&](const KeptAnswer& kept) { return kept.after == after; });
  if (found != kept_.end()) {
    return &*found;
  }
  const Transfer transfer = own_view_(after);
  if (!transfer) {
    return nullptr;
  }
  if (kept_.size() == kMostKeptAnswers) {
    kept_.pop_front();
  }
  kept_.push_back({after, wire::compress(wire::encode(*transfer)), now});
  return &kept_.back();
}

void ViewExchange::refuse(http::ResponseWriter& response) {
  std::vector<Endpoint> others(served_.begin(), served_.end());
  while (others.size() > kOthersNamed) {
    const std::size_t left_out = deps_.random.below(others.size());
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(left_out));
  }
  response.respond(503, {{"content-type", kContentType}}, wire::encode(others));
}

void ViewExchange::note_served(const Endpoint& asker) {
  if (asker.empty()) {
    return;
  }
  std::erase(served_, asker);
  served_.push_front(asker);
  if (served_.size() > kMostServed) {
    served_.pop_back();
  }
}

void ViewExchange::note_source(const Endpoint& source) {
  std::erase(sources_, source);
  sources_.push_front(source);
  if (sources_.size() > kMostSources) {
    sources_.pop_back();
  }
  next_ = 0;
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
  fetch_from({candidates[next_++ % candidates.size()], std::nullopt}, std::move(done));
}

void ViewExchange::fetch_from(const ViewRequest& request, TransferCallback done) {
  ask(request, [this, request, done = std::move(done)](Outcome first) mutable {
    std::erase(first.others, options_.listen);
    if (first.transfer || first.others.empty()) {
      done(std::move(first.transfer));
      return;
    }
    for (const Endpoint& other : first.others) {
      note_source(other);
    }
    const Endpoint& other = first.others[deps_.random.below(first.others.size())];
    ask({other, request.after},
        [done = std::move(done)](Outcome second) { done(std::move(second.transfer)); });
  });
}

void ViewExchange::ask(const ViewRequest& wanted, std::function<void(Outcome)> done) {
  http::ClientRequest request;
  request.endpoint = wanted.holder;
  request.path = kPath;
  request.timeout = kTimeout;
  request.connect_timeout = kConnectTimeout;
  if (wanted.after) {
    request.headers.push_back({kAfterHeader, std::to_string(wanted.after->value())});
    request.headers.push_back({kEraHeader, std::to_string(wanted.after->era().value())});
  }
  if (!options_.listen.empty()) {
    request.headers.push_back({kAskerHeader, options_.listen.value()});
  }
  deps_.client.fetch(std::move(request), [done = std::move(done)](auto result) {
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
