// Two controllers, one engine and one proxy with every message between them, for exhaustive
// exploration. Runs the classes and charts of production; only the engine, the network and the one
// voter's place are modelled. Copyable: a state is a value.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "authority/lease_holder.h"
#include "authority/voter.h"
#include "controller/engine_driver.h"
#include "grants/grant_ledger.h"
#include "grants/grant_table.h"

namespace ochrespring::exploration {

/// Bugs that can be planted; each must be found.
enum class Plant : std::uint8_t {
  kNone,
  kFenceIgnored,             ///< The engine carries out any order.
  kLeaseDeadlineFromAnswer,  ///< The holder counts its lease from the answer.
  kGrantDeadlineFromAnswer,  ///< The proxy counts its grant from the answer.
  kOrderBeforeDrain,         ///< The controller orders without draining.
  kInFlightIgnored,          ///< The controller orders while requests run.
  kEarlierGrantsIgnored,     ///< A new holder forgets grants of the one before.
  kUnfencedTrusted,          ///< The proxy uses engines the holder has not fenced.
};

/// A plant's name on the command line.
std::string_view plant_name(Plant plant);
std::optional<Plant> plant_of(std::string_view name);
/// All but kNone.
const std::vector<Plant>& all_plants();

/// Where an exploration starts.
enum class Start : std::uint8_t {
  kSteady,    ///< The first controller holds the lease, a request runs, a change is wanted.
  kDraining,  ///< As kSteady, and the engine is excluded and its proxy told.
  kTakeover,  ///< The first controller's lease has passed, its order may still be under way.
};

struct Settings {
  Start start = Start::kSteady;
  Plant plant = Plant::kNone;
  std::uint8_t lost = 1;        ///< Messages that may be lost.
  std::uint8_t duplicated = 1;  ///< Messages that may be delivered twice.
  std::uint8_t crashes = 1;     ///< Crashes of the engine or restarts of a controller.
  std::uint8_t dispatches = 1;  ///< Requests the proxy may still start.
  std::uint8_t seconds = 8;     ///< Steps of the clock.
};

enum class Promise : std::uint8_t {
  kOneHolder,            ///< At most one controller holds the lease.
  kNoRequestCut,         ///< No order takes the engine away from a running request.
  kNoConflictingOrders,  ///< Orders take effect in the order of their fences, one at a time.
};

std::string_view promise_name(Promise promise);

/// One state of the composed system.
class Model {
 public:
  explicit Model(const Settings& settings);

  /// Number of transitions that may be tried from here; some change nothing.
  std::size_t transition_count() const;
  /// Likelihood of a transition in random walks, of kLargestWeight.
  std::uint32_t weight(std::size_t transition) const;
  static constexpr std::uint32_t kLargestWeight = 60;
  /// Takes one; returns false if it is not enabled.
  bool take(std::size_t transition);
  /// For counterexamples.
  std::string describe(std::size_t transition) const;

  /// Bytes that determine all behaviour from here.
  std::string state() const;
  const std::optional<Promise>& violated() const { return violated_; }

 private:
  static constexpr std::size_t kControllers = 2;

  struct StatusQuery {};
  struct OrderAnswer {
    engine::OrderFence fence;
    controller::OrderResult result{};
  };
  struct Work {};
  struct WorkDone {};
  using Body =
      std::variant<authority::ClaimRequest, authority::ClaimReply, authority::ReleaseNotice,
                   StatusQuery, engine::EngineStatus, engine::EngineOrder, OrderAnswer,
                   grants::GrantRequest, grants::GrantReply, grants::RulesNotice, Work, WorkDone>;
  struct Message {
    std::size_t controller = 0;  ///< The controller it is from or for.
    std::uint64_t life = 0;      ///< Of that controller's process.
    MonotonicTime sent;          ///< Of the grant request it belongs to.
    Body body;
  };
  struct Controller {
    explicit Controller(authority::LeaseHolder lease_holder) : lease(std::move(lease_holder)) {}
    authority::LeaseHolder lease;
    std::optional<grants::GrantLedger> ledger;
    std::optional<controller::EngineDriver> driver;
    std::uint64_t life = 1;
  };
  class Gate;
  friend class Gate;

  /// Kinds of transitions, each with an index: a controller or a message.
  enum class Kind : std::uint8_t {
    kAdvance,
    kTick,
    kAsk,
    kDispatch,
    kCompleteOrder,
    kFinishRequest,
    kCrashEngine,
    kRestart,
    kDeliver,
    kLose,
    kDuplicate,
  };
  struct Choice {
    Kind kind{};
    std::size_t index = 0;
  };

  Choice choice(std::size_t transition) const;
  bool advance();
  bool tick(std::size_t index);
  bool ask(std::size_t index);
  bool dispatch();
  bool complete_order();
  bool finish_request();
  bool crash_engine();
  bool restart(std::size_t index);
  void deliver(const Message& message);
  bool deliver_at(std::size_t index, bool keep);
  bool lose(std::size_t index);

  void handle(const Message& from, const authority::ClaimRequest& body);
  void handle(const Message& from, const authority::ClaimReply& body);
  void handle(const Message& from, const authority::ReleaseNotice& body);
  void handle(const Message& from, const StatusQuery& body);
  void handle(const Message& from, const engine::EngineStatus& body);
  void handle(const Message& from, const engine::EngineOrder& body);
  void handle(const Message& from, const OrderAnswer& body);
  void handle(const Message& from, const grants::GrantRequest& body);
  void handle(const Message& from, const grants::GrantReply& body);
  void handle(const Message& from, const grants::RulesNotice& body);
  void handle(const Message& from, const Work& body);
  void handle(const Message& from, const WorkDone& body);

  void prepare();
  void deliver_all();
  void send(std::size_t index, Body body);
  authority::LeaseHolder make_lease(std::size_t index) const;
  void run_lease(std::size_t index);
  void run_driver(std::size_t index);
  void want_change(std::size_t index);
  void violate(Promise promise);
  void check_holders();

  Settings settings_;
  authority::AuthoritySettings authority_settings_;
  grants::GrantSettings grant_settings_;
  controller::DriverSettings driver_settings_;
  MonotonicTime now_;
  authority::Voter voter_;
  std::vector<Controller> controllers_;
  grants::GrantTable table_;
  std::uint32_t proxy_in_flight_ = 0;
  std::uint64_t round_ = 0;
  engine::EngineStatus engine_;
  engine::OrderFence highest_effect_;  ///< Of orders that took effect in this life of the engine.
  std::vector<Message> messages_;
  std::optional<Promise> violated_;
};

}  // namespace ochrespring::exploration
