// Streams that are replicated to a second engine, and a guard that the test controls.
#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/fake_gate.h"

namespace ochrespring::gateway::testing {

/// Allows requests until the test sets another verdict.
class StubGuard final : public RequestGuard {
 public:
  bool is_active() const override { return verdict != SendVerdict::kAllowed; }
  SendVerdict check(const RequestIdentity& /*request*/) override { return verdict; }
  Duration retry_after(const RequestIdentity& /*request*/) const override {
    return std::chrono::seconds(1);
  }
  void claim_trial(const RequestIdentity& /*request*/, std::function<void(bool)> done) override {
    trial = std::move(done);
  }
  std::set<BackendId> terminated_backends() const override { return terminated; }
  void note_failure(const FailedAttempt& attempt) override { kinds.push_back(attempt.kind); }
  void note_answer(const AnsweredAttempt& /*attempt*/) override {}
  void note_answered_parts(const std::vector<RequestFingerprint>& /*parts*/) override {}

  SendVerdict verdict = SendVerdict::kAllowed;
  std::function<void(bool)> trial;
  std::vector<AttemptFailureKind> kinds;
  std::set<BackendId> terminated;
};

/// Engines `e1` to `e4` that replicate streams. `/stream/` must not be retried, `/resumable/` may
/// be retried once and `/thrice/` twice; `/last/` is retryable but allows a single attempt.
struct ResumeFixture : GatewayFixture {
  StubGuard guard;
  FakeGate gate;
  Gateway gateway_under_test{environment_with(&guard, &gate), [](auto done) { done(true); }};
  std::shared_ptr<FakeExchange> run;  ///< Exchange of the latest stream.
  std::string backup;                 ///< Its backup engine.

  ResumeFixture() {
    Configuration configuration = make_configuration(2);
    configuration.routes.push_back(make_route("/thrice/", RequestKind::kStreaming, "llm", 3, true));
    configuration.routes.push_back(make_route("/last/", RequestKind::kStreaming, "llm", 1, true));
    configuration.services[1].engine->backs_up_streams = true;
    configuration.services[1].engine->tokens_per_event = 75;
    fleet.apply(std::move(configuration));
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
  }
  std::shared_ptr<FakeCaller> ask(const std::string& path, const char* counts = "200,6000",
                                  std::vector<http::Header> headers = {}) {
    headers.insert(headers.end(), {{"host", "h"},
                                   {"x-request-id", "r1"},
                                   {names.prompt_parts, "aa:100,bb:100"},
                                   {names.token_counts, counts}});
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test.handle({"POST", path, "", std::move(headers), "body"}, caller);
    run = transport.started.empty() ? nullptr : transport.started.back();
    backup = run ? run->header(names.cache_backup) : "";
    return caller;
  }
  /// Starts a stream of which one event and half of the next one have arrived.
  std::shared_ptr<FakeCaller> begin(const std::string& path) {
    auto caller = ask(path);
    REQUIRE_FALSE(backup.empty());
    run->observer->on_head({200, {signature()}});
    run->observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
    return caller;
  }
  BackendId backup_id() const { return BackendId(backup.substr(0, backup.find(':'))); }
  BackendId runner_id() const {
    const std::string address = run->request.endpoint.value();
    return BackendId(address.substr(0, address.find(':')));
  }
  bool resumed_at_backup() {
    return sends() == 2 && last().request.endpoint.value() == backup &&
           last().header(names.cache_source) == run->request.endpoint.value() + "/r1" &&
           last().header(names.cache_backup).empty();
  }
};

}  // namespace ochrespring::gateway::testing
