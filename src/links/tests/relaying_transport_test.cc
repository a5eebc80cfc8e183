// Guards against requests that run twice because a second way was tried, and requests that are held
// although no way exists.
#include "links/relaying_transport.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "links_fixture.h"

using namespace ochrespring;
using namespace std::chrono_literals;
using links::testing::LinksFixture;

namespace {

/// One connection attempt of the transport; the test decides its result.
struct Started {
  http::ClientRequest request;
  http::ResponseObserver* observer = nullptr;
  bool open = true;

  Endpoint relay() const { return request.relay ? request.relay->address : Endpoint(); }
  void fail(http::HttpErrc code, bool sent) { observer->on_failure({code, "injected"}, sent); }
};

class FakeConnections final : public links::HttpConnections {
 public:
  std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                        http::ResponseObserver& observer) override {
    started.push_back(std::make_shared<Started>());
    started.back()->request = std::move(request);
    started.back()->observer = &observer;
    return std::make_unique<Handle>(started.back());
  }
  bool has_idle(const Endpoint& /*backend*/, bool relayed) const override { return relayed; }
  void fetch(http::ClientRequest request,
             std::function<void(Result<http::Response, http::FetchFailure>)> done) override {
    fetched = std::move(request);
    fetch_done = std::move(done);
  }
  void probe(const Endpoint& /*backend*/, std::function<void(http::ProbeResult)> done) override {
    done(probe_result);
  }

  std::deque<std::shared_ptr<Started>> started;
  std::optional<http::ClientRequest> fetched;
  std::function<void(Result<http::Response, http::FetchFailure>)> fetch_done;
  http::ProbeResult probe_result = http::ProbeResult::kAccepted;

 private:
  class Handle final : public http::Exchange {
   public:
    explicit Handle(std::shared_ptr<Started> started) : started_(std::move(started)) {}
    ~Handle() override { started_->open = false; }
    void set_reading(bool /*reading*/) override {}
    bool sent() const override { return false; }

   private:
    std::shared_ptr<Started> started_;
  };
};

struct Fixture : LinksFixture, http::ResponseObserver {
  discovery::NodeDirectory nodes{time, record("self")};
  links::RelayChooser relays{nodes, time, random};
  FakeConnections connections;
  links::RelayingTransport transport{{time, time, random, connections, links, relays}};
  std::unique_ptr<http::Exchange> exchange;
  std::string body;
  bool complete = false;
  bool sent = false;
  std::optional<http::HttpErrc> error;

  explicit Fixture(int peers = 4) {
    for (int i = 0; i != peers; ++i) {
      nodes.put(record("n" + std::to_string(i)));
    }
  }
  static discovery::NodeRecord record(const std::string& name) {
    discovery::NodeRecord made;
    made.node = NodeId(name);
    made.peer_address = Endpoint(name + ":7380");
    return made;
  }
  void start() {
    http::ClientRequest request;
    request.endpoint = address(0);
    request.body = "question";
    request.timeout = 2s;
    request.connect_timeout = 400ms;
    exchange = transport.start(std::move(request), *this);
  }
  Started& last() { return *connections.started.back(); }
  void partition() {
    cut_all();
    links.note_unreachable(address(0));
    run(100ms);
    REQUIRE(links.is_partitioned());
  }

  void on_head(const http::ResponseHead& /*head*/) override {}
  void on_body(std::string_view bytes) override { body.append(bytes); }
  void on_complete() override {
    complete = true;
    exchange.reset();
  }
  void on_failure(const http::HttpError& failure, bool was_sent) override {
    error = failure.code;
    sent = was_sent;
    exchange.reset();
  }
};

}  // namespace

TEST_CASE("a request that was not sent goes on through another node") {
  Fixture f;
  f.start();
  CHECK(f.last().relay().empty());
  CHECK(f.last().request.connect_timeout == 150ms);
  f.run(150ms);
  f.last().fail(http::HttpErrc::kConnect, false);
  REQUIRE(f.connections.started.size() == 2);
  CHECK_FALSE(f.connections.started.front()->open);
  CHECK_FALSE(f.last().relay().empty());
  CHECK(f.last().request.body == "question");
  CHECK(f.last().request.timeout == 1850ms);
  f.last().observer->on_head({200, {}});
  f.last().observer->on_body("answer");
  f.last().observer->on_complete();
  CHECK(f.complete);
  CHECK(f.body == "answer");
  CHECK_FALSE(f.error);
  CHECK(f.transport.statistics().relayed == 1);
}

TEST_CASE("a request of which a byte may have been sent takes no other way") {
  Fixture f;
  f.start();
  SUBCASE("directly") {}
  SUBCASE("through another node") {
    f.last().fail(http::HttpErrc::kConnect, false);
    REQUIRE(f.connections.started.size() == 2);
  }
  const std::size_t ways = f.connections.started.size();
  f.last().fail(http::HttpErrc::kReset, true);
  CHECK(f.connections.started.size() == ways);
  CHECK(f.error == http::HttpErrc::kReset);
  CHECK(f.sent);
}

// Guards against a request that is sent through a node that leaves, and is cut off with its
// process.
TEST_CASE("an idle connection through a node that leaves is not used again") {
  Fixture f;
  f.start();
  f.last().fail(http::HttpErrc::kConnect, false);
  const Endpoint relay = f.last().relay();
  REQUIRE(f.last().request.relay->accepts);
  CHECK(f.last().request.relay->accepts(relay));
  const std::string name = relay.value().substr(0, relay.value().find(':'));
  f.nodes.note_leaving(NodeId(name), {});
  CHECK_FALSE(f.last().request.relay->accepts(relay));
  CHECK_FALSE(f.last().request.relay->accepts(Endpoint("unknown:7380")));
}

// Guards against a sound back end that counts as terminated because this node's own link refuses
// connections.
TEST_CASE("over a cut link a fetch goes through another node, and a refusal proves nothing") {
  const auto fetch = [](Fixture& f) {
    auto code = std::make_shared<std::optional<http::HttpErrc>>();
    http::ClientRequest request;
    request.endpoint = Fixture::address(0);
    f.transport.fetch(std::move(request), [code](const auto& result) {
      REQUIRE_FALSE(result);
      *code = result.error().error.code;
    });
    return code;
  };
  const auto refuse = [](Fixture& f) {
    f.connections.fetch_done(
        outcome::failure(http::FetchFailure{{http::HttpErrc::kRefused, "refused"}, false}));
  };
  Fixture sound;
  const auto refused = fetch(sound);
  CHECK_FALSE(sound.connections.fetched->relay);
  refuse(sound);
  CHECK(*refused == http::HttpErrc::kRefused);
  Fixture cut;
  cut.partition();
  fetch(cut);
  CHECK(cut.connections.fetched->relay);
  Fixture alone(0);
  alone.partition();
  const auto unproven = fetch(alone);
  CHECK_FALSE(alone.connections.fetched->relay);
  refuse(alone);
  CHECK(*unproven == http::HttpErrc::kNoPath);
}

TEST_CASE("a withdrawn request takes no other way") {
  Fixture f;
  f.start();
  f.last().fail(http::HttpErrc::kWithdrawn, false);
  CHECK(f.connections.started.size() == 1);
  CHECK(f.error == http::HttpErrc::kWithdrawn);
}

TEST_CASE("a node that refuses is replaced by another one, three times at most") {
  Fixture f(5);
  f.partition();
  f.start();
  std::set<Endpoint> asked;
  while (!f.error) {
    asked.insert(f.last().relay());
    f.last().fail(http::HttpErrc::kRelayRefused, false);
    f.run(0ms);
  }
  CHECK(asked.size() == 3);
  CHECK(f.error == http::HttpErrc::kNoPath);
  CHECK_FALSE(f.sent);
}

TEST_CASE("while no node relays, requests fail at once and nobody is asked") {
  Fixture f(2);
  f.partition();
  f.relays.note_refused(Endpoint("n0:7380"), f.address(0));
  f.relays.note_unreachable(Endpoint("n1:7380"));
  f.start();
  CHECK_FALSE(f.error);  // Never from within start().
  f.run(0ms);
  CHECK(f.error == http::HttpErrc::kNoPath);
  CHECK(f.connections.started.empty());
}

TEST_CASE("ways are not tried for so long that the stated deadline becomes wrong") {
  Fixture f;
  f.start();
  f.run(150ms);
  f.last().fail(http::HttpErrc::kConnect, false);
  CHECK(f.last().request.connect_timeout == 250ms);
  f.run(250ms);
  f.last().fail(http::HttpErrc::kRelayFailed, false);
  f.run(0ms);
  CHECK(f.error);
  CHECK_FALSE(f.sent);
  CHECK(f.connections.started.size() == 2);
}

TEST_CASE("a request whose time ends while a connection is opened accuses no other node") {
  Fixture f;
  f.partition();
  http::ClientRequest request;
  request.endpoint = f.address(0);
  request.timeout = 100ms;
  f.exchange = f.transport.start(std::move(request), f);
  f.run(0ms);
  CHECK(f.error);
  CHECK(f.connections.started.empty());
}

TEST_CASE("a back end that another node cannot reach is unreachable, not behind a cut link") {
  Fixture f;
  f.unreachable = {f.address(0)};
  f.start();
  f.last().fail(http::HttpErrc::kConnect, false);
  f.last().fail(http::HttpErrc::kConnect, false);
  CHECK(f.error == http::HttpErrc::kConnect);
  CHECK_FALSE(f.links.is_cut(f.address(0)));
}

TEST_CASE("a partitioned node asks a second one whether a back end is unreachable") {
  Fixture f;
  f.partition();
  f.start();
  f.last().fail(http::HttpErrc::kConnect, false);
  CHECK_FALSE(f.error);
  f.last().fail(http::HttpErrc::kConnect, false);
  CHECK(f.error == http::HttpErrc::kConnect);
}

TEST_CASE("without other nodes, back ends are reached directly with the given limits") {
  Fixture f(0);
  f.start();
  CHECK(f.last().request.connect_timeout == 400ms);
  f.last().fail(http::HttpErrc::kConnect, false);
  CHECK(f.error == http::HttpErrc::kConnect);
  CHECK(f.links.cut_count() == 0);
}

TEST_CASE("an unused connection that was closed is replaced before the link is suspected") {
  Fixture f;
  f.start();
  f.last().fail(http::HttpErrc::kStaleConnection, false);
  REQUIRE(f.connections.started.size() == 2);
  CHECK(f.last().relay().empty());
  CHECK(f.last().request.fresh_connection);
  CHECK(f.links.cut_count() == 0);
}

TEST_CASE("a time-out on a link that is known to be cut is no failure of the back end") {
  Fixture f;
  f.start();
  const auto first = f.connections.started.back();
  f.partition();
  first->fail(http::HttpErrc::kTimeout, true);
  CHECK(f.error == http::HttpErrc::kLinkCut);
  CHECK(f.sent);
}

TEST_CASE("silence of a request's back end checks the link") {
  Fixture f;
  f.cut_all();
  f.start();
  f.run(400ms);
  CHECK(f.links.is_partitioned());
}

TEST_CASE("a probe over a cut link asks another node") {
  Fixture f;
  f.partition();
  std::optional<http::ProbeResult> result;
  f.transport.probe(f.address(0), [&](http::ProbeResult probed) { result = probed; });
  REQUIRE(f.connections.fetched);
  CHECK(f.connections.fetched->relay);
  CHECK_FALSE(f.connections.fetched->may_send());
  const auto end = [&](http::HttpErrc code) {
    f.connections.fetch_done(outcome::failure(http::FetchFailure{{code, "injected"}, false}));
  };
  SUBCASE("that reaches the back end") {
    end(http::HttpErrc::kWithdrawn);
    CHECK(result == http::ProbeResult::kAccepted);
  }
  SUBCASE("that does not reach it") {
    end(http::HttpErrc::kConnect);
    CHECK(result == http::ProbeResult::kRefused);
  }
  SUBCASE("that does not tell") {
    end(http::HttpErrc::kRelayFailed);
    CHECK(result == http::ProbeResult::kNoAnswer);
  }
}
