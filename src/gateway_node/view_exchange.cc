#include "gateway_node/view_exchange.h"

#include <chrono>
#include <string>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::gateway_node {

namespace {

constexpr const char* kPath = "/view";
constexpr const char* kContentType = "application/octet-stream";
constexpr Duration kTimeout = std::chrono::milliseconds(800);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

http::ServerSettings server_at(const Endpoint& endpoint) {
  http::ServerSettings settings;
  settings.listen = endpoint;
  return settings;
}

}  // namespace

ViewExchange::ViewExchange(http::EventLoop& loop, http::Client& client, Options options,
                           std::function<Snapshot()> own_view)
    : client_(client),
      options_(std::move(options)),
      own_view_(std::move(own_view)),
      server_(loop, server_at(options_.listen)) {}

Result<void, http::HttpError> ViewExchange::listen() {
  if (options_.listen.empty()) {
    return outcome::success();
  }
  server_.route(kPath, [this](const http::Request&, const auto& response) {
    const Snapshot view = own_view_();
    if (view) {
      response->respond(200, {{"content-type", kContentType}}, wire::encode(*view));
    } else {
      response->respond(503, {}, "");
    }
  });
  return server_.listen();
}

void ViewExchange::note_source(const Endpoint& source) {
  std::erase(sources_, source);
  sources_.push_front(source);
  if (sources_.size() > kMostSources) {
    sources_.pop_back();
  }
  next_ = 0;
}

void ViewExchange::fetch(std::function<void(Snapshot)> done) {
  std::vector<Endpoint> candidates(sources_.begin(), sources_.end());
  candidates.insert(candidates.end(), options_.seeds.begin(), options_.seeds.end());
  if (candidates.empty()) {
    done(std::nullopt);
    return;
  }
  fetch_from(candidates[next_++ % candidates.size()], std::move(done));
}

void ViewExchange::fetch_from(const Endpoint& holder, std::function<void(Snapshot)> done) {
  http::ClientRequest request;
  request.endpoint = holder;
  request.path = kPath;
  request.timeout = kTimeout;
  request.connect_timeout = kConnectTimeout;
  client_.fetch(std::move(request), [done = std::move(done)](auto result) {
    if (!result || result.value().head.status != 200) {
      done(std::nullopt);
      return;
    }
    auto view = wire::decode<discovery::ViewSnapshot>(result.value().body);
    done(view ? Snapshot(std::move(view.value())) : std::nullopt);
  });
}

}  // namespace ochrespring::gateway_node
