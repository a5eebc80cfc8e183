// Keeps this node registered in the store for as long as it takes requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "discovery/node_record.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

struct NodeRegistrationSettings {
  std::string key;
  Duration time_to_live{std::chrono::milliseconds(3000)};
  Duration period{std::chrono::milliseconds(1000)};
  Duration retry_delay{std::chrono::milliseconds(400)};
  /// The delay doubles with each call that fails in a row, up to this: refused calls have their
  /// price, and while the store is out every node makes them. 80 nodes made 3,893 calls in a day
  /// with two outages of 8 and 9.7 s, 5,385 with 400 ms throughout (counted by the store, one play
  /// each).
  Duration max_retry_delay{std::chrono::milliseconds(1600)};
};

/// A lease with the node's record under it, renewed until leave(). A lapsed lease is replaced.
class NodeRegistration {
 public:
  NodeRegistration(TimerService& timers, shared_store::SharedStore& store, logging::Logger& logger,
                   RandomSource& random, NodeRegistrationSettings settings,
                   const NodeRecord& record);

  void start();
  /// The store may have lost the record and its lease: both are made schedule, at some moment
  /// within a period, lest a whole fleet writes at once.
  void reregister();
  /// Ends the lease, so that the others stop naming this node at once.
  void leave();

  /// When the record was last written; zero: never.
  shared_store::StoreRevision registered() const { return registered_; }

 private:
  void grant();
  void publish();
  void renew();
  void end_lease();
  void schedule(Duration delay);
  void schedule_retry();

  shared_store::SharedStore& store_;
  logging::Logger& logger_;
  RandomSource& random_;
  NodeRegistrationSettings settings_;
  std::string value_;
  Timer timer_;
  std::optional<shared_store::LeaseId> lease_;
  shared_store::StoreRevision registered_;
  std::uint32_t failed_in_row_ = 0;  ///< Calls.
  bool published_ = false;
  bool lease_lost_ = false;  ///< As far as is known: the store was set back.
  bool left_ = false;
};

}  // namespace ochrespring::discovery
