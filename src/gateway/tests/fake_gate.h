// A fake send gate that the test controls, and a gateway fixture that uses it.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/send_gate.h"
#include "tests/gateway_fixture.h"

namespace ochrespring::gateway::testing {

class FakeGate final : public SendGate {
 public:
  bool has_room(const BackendId& backend, MonotonicTime /*now*/) const override {
    return !full.contains(backend);
  }
  ClaimResult claim(const BackendId& backend, SendRank rank,
                    std::function<void(bool)> done) override {
    ranks.push_back(rank);
    if (denies.contains(backend)) {
      full.insert(backend);
      return ClaimResult::kDenied;
    }
    if (!claims_pending) {
      return ClaimResult::kGranted;
    }
    claims.emplace_back(backend, std::move(done));
    return ClaimResult::kPending;
  }
  bool is_backing_off(const BackendId& backend, MonotonicTime /*now*/) const override {
    return backed_off.contains(backend);
  }
  bool may_send(const BackendId& backend, MonotonicTime /*now*/) const override {
    return !backed_off.contains(backend);
  }
  void note_send(const BackendId& backend, MonotonicTime /*now*/) override {
    sent.push_back(backend);
  }
  std::optional<RoomForecast> forecast(const ServiceName& /*service*/,
                                       MonotonicTime /*now*/) const override {
    return full.empty() ? std::nullopt
                        : std::optional(RoomForecast{.wait = std::chrono::milliseconds(700),
                                                     .backing_off = forecast_backing_off});
  }
  void note_answer(const BackendAnswer& answer) override { answers.push_back(answer); }

  /// Grants or denies the oldest pending claim.
  void settle(bool granted) {
    auto [backend, done] = std::move(claims.front());
    claims.erase(claims.begin());
    if (!granted) {
      full.insert(backend);
    }
    done(granted);
  }

  std::set<BackendId> full;
  std::set<BackendId> backed_off;
  std::vector<BackendId> sent;
  bool forecast_backing_off = false;
  std::set<BackendId> denies;
  bool claims_pending = false;
  std::vector<SendRank> ranks;
  std::vector<std::pair<BackendId, std::function<void(bool)>>> claims;
  std::vector<BackendAnswer> answers;
};

/// A gateway with three back ends, `b1` to `b3`, that are not engines.
struct GatedFixture : GatewayFixture {
  GatedFixture() {
    for (const char* id : {"b1", "b2", "b3"}) {
      add_backend(id, "relay");
    }
  }
  std::shared_ptr<FakeCaller> request(const std::string& path,
                                      std::vector<http::Header> headers = {}) {
    headers.push_back({"host", "h"});
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test.handle({"POST", path, "", std::move(headers), "body"}, caller);
    return caller;
  }

  FakeGate gate;
  Gateway gateway_under_test{environment_with(nullptr, &gate), [](auto done) { done(true); }};
};

}  // namespace ochrespring::gateway::testing
