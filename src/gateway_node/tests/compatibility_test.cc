// Compatibility of adjacent builds that run side by side during an upgrade, in both directions: a
// build reads or ignores what the previous one writes, and writes what the previous one reads.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "discovery/node_record.h"
#include "discovery/view_transfer.h"
#include "duties/types.h"
#include "gateway_node/peer_message.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;

namespace {

std::string from_hex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

/// Reads a file of names and hexadecimal messages; returns the bytes by name.
std::map<std::string, std::string> read_corpus(const char* path = FORMER_MESSAGES) {
  std::map<std::string, std::string> corpus;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string name;
    std::string hex;
    if (line.front() != '#' && words >> name >> hex) {
      corpus[name] = from_hex(hex);
    }
  }
  return corpus;
}

/// Whether the bytes decode and encode to the same bytes again.
template <class T>
bool round_trips(const std::string& bytes) {
  const auto read = wire::decode<T>(bytes);
  return read && wire::encode(read.value()) == bytes;
}

}  // namespace

TEST_CASE("messages of the previous build round-trip or are ignored") {
  const auto corpus = read_corpus();
  REQUIRE(corpus.size() == 15);
  for (const char* name : {"work_report", "parts_request", "view_offer", "work_to_relay",
                           "relayed_work", "usage_report", "crash_news", "crash_news_to_relay"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  // Their revisions have no store era.
  CHECK_FALSE(wire::decode<PeerMessage>(corpus.at("view_update")));
  CHECK_FALSE(wire::decode<PeerMessage>(corpus.at("update_to_relay")));
}

TEST_CASE("messages, views and records of the build that introduced store eras round-trip") {
  const auto corpus = read_corpus(LAST_MESSAGES);
  REQUIRE(corpus.size() == 8);
  for (const char* name : {"node_leaving", "node_leaving_to_relay"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  // Their back ends have no software version. Views are requested at a path of their own.
  CHECK_FALSE(wire::decode<PeerMessage>(corpus.at("view_update")));
  CHECK_FALSE(wire::decode<PeerMessage>(corpus.at("update_to_relay")));
  CHECK_FALSE(wire::decode<discovery::ViewTransfer>(corpus.at("view_snapshot")));
  CHECK_FALSE(wire::decode<discovery::ViewTransfer>(corpus.at("view_delta")));
  CHECK(round_trips<discovery::NodeRecord>(corpus.at("node_record")));
  CHECK(round_trips<duties::FenceOffset>(corpus.at("fence_offset")));
}

TEST_CASE("views and their updates round-trip with software versions as first released") {
  const auto corpus = read_corpus(BACKEND_VERSIONS);
  REQUIRE(corpus.size() == 4);
  for (const char* name : {"view_update", "update_to_relay"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  CHECK(round_trips<discovery::ViewTransfer>(corpus.at("view_delta")));
  const auto view = wire::decode<discovery::ViewTransfer>(corpus.at("view_snapshot"));
  REQUIRE(view);
  CHECK(round_trips<discovery::ViewTransfer>(corpus.at("view_snapshot")));
  CHECK(std::get<discovery::ViewSnapshot>(view.value()).backends.at(0).version ==
        gateway::SoftwareVersion("v1.1"));
}

TEST_CASE("records of streams and queries about them round-trip as first released") {
  const auto corpus = read_corpus(STREAM_RECORDS);
  REQUIRE(corpus.size() == 4);
  for (const auto& [name, bytes] : corpus) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(bytes));
  }
  const auto record = wire::decode<PeerMessage>(corpus.at("stream_record"));
  REQUIRE(record);
  CHECK(std::get<stream_records::StreamRecord>(record.value()).lifetime ==
        std::chrono::seconds(10));
}

TEST_CASE("rate limit reports and permits round-trip as first released") {
  const auto corpus = read_corpus(RATE_LIMIT_MESSAGES);
  REQUIRE(corpus.size() == 4);
  for (const char* name : {"limit_news", "limit_news_to_relay", "permit_request", "permit_reply"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  const auto reply = wire::decode<PeerMessage>(corpus.at("permit_reply"));
  REQUIRE(reply);
  const auto& permit = std::get<rate_limit::PermitReply>(reply.value());
  CHECK(permit.wait == std::chrono::milliseconds(730));
  CHECK(permit.known.rate.thousandths == 1300);
}

TEST_CASE("back-end notices round-trip as first released") {
  const auto corpus = read_corpus(BACKEND_NOTICES);
  REQUIRE(corpus.size() == 3);
  for (const char* name : {"leaving", "pause", "pause_to_relay"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  const auto pause = wire::decode<PeerMessage>(corpus.at("pause"));
  REQUIRE(pause);
  CHECK(std::get<admission::BackendNotice>(pause.value()).backoff ==
        std::chrono::milliseconds(3500));
}

TEST_CASE("horizon and position reports round-trip as first released") {
  const auto corpus = read_corpus(HORIZONS_AND_POSITIONS);
  REQUIRE(corpus.size() == 3);
  for (const char* name : {"horizon_request", "horizon_report", "position_news"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  const auto report = wire::decode<PeerMessage>(corpus.at("horizon_report"));
  REQUIRE(report);
  CHECK(std::get<quarantine::HorizonReport>(report.value()).age == std::chrono::seconds(600));
}

TEST_CASE("history reports round-trip as first released") {
  const auto corpus = read_corpus(HISTORY_NEWS);
  REQUIRE(corpus.size() == 1);
  CHECK(round_trips<PeerMessage>(corpus.at("history_news")));
  const auto message = wire::decode<PeerMessage>(corpus.at("history_news"));
  REQUIRE(message);
  CHECK(std::get<discovery::HistoryReport>(message.value()).span ==
        shared_store::HistorySpan{.after = shared_store::StoreRevision(510),
                                  .through = shared_store::StoreRevision(514),
                                  .digest = 77});
}

TEST_CASE("engine profile reports round-trip as first released") {
  const auto corpus = read_corpus(PROFILE_NEWS);
  REQUIRE(corpus.size() == 3);
  for (const char* name : {"profile_news", "profile_news_to_relay", "relayed_profile_news"}) {
    CAPTURE(name);
    CHECK(round_trips<PeerMessage>(corpus.at(name)));
  }
  const auto message = wire::decode<PeerMessage>(corpus.at("profile_news"));
  REQUIRE(message);
  const auto& profile_report = std::get<engine_profiles::ProfileReport>(message.value());
  REQUIRE(profile_report.engines.size() == 1);
  CHECK(profile_report.engines[0].output ==
        engine_profiles::ReportedSpeed{std::chrono::microseconds(540), 12});
  CHECK(profile_report.engines[0].long_streams == 2);
}

TEST_CASE("records in the store round-trip as the previous build writes them") {
  const auto corpus = read_corpus();
  CHECK(round_trips<discovery::NodeRecord>(corpus.at("node_record")));
  CHECK(round_trips<duties::HolderRecord>(corpus.at("holder_record")));
  CHECK(round_trips<duties::HolderHistory>(corpus.at("holder_history")));
  CHECK(round_trips<usage::TenantCounts>(corpus.at("usage_counts")));
  CHECK(round_trips<quarantine::CrashReport>(corpus.at("crash_report")));
}

TEST_CASE("messages unknown to the previous build start with a kind unknown to it") {
  constexpr std::size_t kKindsBeforeStoreEras = 10;
  CHECK(PeerMessage(NodeLeaving()).index() >= kKindsBeforeStoreEras);
  CHECK(PeerMessage(NodeLeavingToRelay()).index() >= kKindsBeforeStoreEras);
  constexpr std::size_t kKindsBeforeRateLimits = 14;
  CHECK(PeerMessage(rate_limit::LimitReport()).index() == kKindsBeforeRateLimits);
  CHECK(PeerMessage(rate_limit::PermitReply()).index() == kKindsBeforeRateLimits + 3);
  constexpr std::size_t kKindsBeforeNotices = 18;
  CHECK(PeerMessage(admission::BackendNotice()).index() == kKindsBeforeNotices);
  constexpr std::size_t kKindsBeforeHorizons = 20;
  CHECK(PeerMessage(quarantine::HorizonRequest()).index() == kKindsBeforeHorizons);
  CHECK(PeerMessage(discovery::PositionReport()).index() == kKindsBeforeHorizons + 2);
  constexpr std::size_t kKindsBeforeHistory = 23;
  CHECK(PeerMessage(discovery::HistoryReport()).index() == kKindsBeforeHistory);
  constexpr std::size_t kKindsBeforeProfiles = 24;
  CHECK(PeerMessage(engine_profiles::ProfileReport()).index() == kKindsBeforeProfiles);
  CHECK(PeerMessage(engine_profiles::RelayedProfileReports()).index() == kKindsBeforeProfiles + 2);
  constexpr std::size_t kKindsBeforeSoftwareVersions = 27;
  CHECK(PeerMessage(discovery::ViewUpdate()).index() == kKindsBeforeSoftwareVersions);
  CHECK(PeerMessage(ViewUpdateToRelay()).index() == kKindsBeforeSoftwareVersions + 1);
  CHECK(PeerMessage(stream_records::StreamRecord()).index() == kKindsBeforeSoftwareVersions + 2);
  CHECK(PeerMessage(stream_records::RecordReply()).index() == kKindsBeforeSoftwareVersions + 4);
  CHECK(PeerMessage(stream_records::SoftwareHistoryReport()).index() ==
        kKindsBeforeSoftwareVersions + 5);
}

TEST_CASE("unknown kinds, and known ones with trailing bytes, are ignored") {
  CHECK(rc::check([](const std::string& bytes) {
    const std::string unknown_kind =
        std::string(1, static_cast<char>(std::variant_size_v<PeerMessage>)) + bytes;
    RC_ASSERT_FALSE(wire::decode<PeerMessage>(unknown_kind).has_value());
    const std::string longer = wire::encode(PeerMessage(NodeLeaving())) + "x" + bytes;
    RC_ASSERT_FALSE(wire::decode<PeerMessage>(longer).has_value());
  }));
}
