// Membership of the fleet: failure detection with indirect probes and refutation, bounded gossip,
// anti-entropy, join from seeds or from the platform's machine list.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/timer.h"
#include "external/machine_list.h"
#include "logging/logger.h"
#include "membership/member_table.h"
#include "membership/member_view.h"
#include "membership/overlay.h"
#include "membership/probe_schedule.h"
#include "membership/settings.h"
#include "membership/suspicions.h"
#include "membership/update_queue.h"
#include "peer/transport.h"

namespace ochrespring::membership {

/// What a membership service is built from; everything outlives it. `machine_list` may be null.
struct MembershipDependencies {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  peer::Transport& transport;
  logging::Logger& logger;
  external::MachineList* machine_list = nullptr;
};

/// Counters since the start.
struct MembershipStatistics {
  std::uint64_t probes = 0;
  std::uint64_t probe_failures = 0;
  std::uint64_t suspicions = 0;   ///< Raised by this node.
  std::uint64_t refutations = 0;  ///< Of this node's own suspicion or death.
  std::uint64_t deaths = 0;       ///< Declared by this node.
  std::uint64_t pauses = 0;       ///< Times this node found it had been paused.
  std::uint64_t reconciliations = 0;
  std::uint64_t machine_list_reads = 0;
  std::uint64_t malformed_messages = 0;
  std::uint64_t queued_updates = 0;
  std::uint32_t local_health = 0;  ///< 0: well; each step slows this node's accusations.
};

/// One per node, on the control loop; the node passes messages of Channel::kMembership in.
class MembershipService final : public MemberView, public peer::Receiver {
 public:
  MembershipService(Member self, MembershipSettings settings, MembershipDependencies dependencies);

  /// Begins to join and to probe.
  void start();
  /// Announces a planned leave; the node goes on answering.
  void leave();
  /// Tells some members that this node is gone; called last, before the process ends.
  void depart();
  /// Whether the table has been filled from a peer, or the machine list names no other node.
  bool joined() const { return joined_; }

  const Member& self() const override { return self_; }
  std::vector<Member> members() const override;
  std::uint64_t version() const override { return table_.version(); }
  void add_observer(MembershipObserver& observer) override;
  void remove_observer(MembershipObserver& observer) override;

  void on_message(const Endpoint& from, std::string_view payload) override;

  const MembershipStatistics& statistics() const { return statistics_; }

 private:
  /// A probe under way.
  struct Probe {
    std::uint64_t sequence = 0;
    Member target;
    MonotonicTime sent;
    bool indirect_sent = false;
  };
  /// A ping sent for another member.
  struct Relay {
    std::uint64_t sequence = 0;
    Endpoint asker;
    std::uint64_t asker_sequence = 0;
  };

  void on_tick();
  void notice_pause(MonotonicTime now);
  void run_probe(MonotonicTime now);
  void start_probe(MonotonicTime now);
  void ask_others();
  void fail_probe(MonotonicTime now);
  void expire_suspicions(MonotonicTime now);
  void run_gossip();
  void run_reconciliation(MonotonicTime now);
  void run_join();
  void run_machine_list(MonotonicTime now);
  void on_machines(const std::vector<external::Machine>& machines);

  void on(const Endpoint& from, const Ping& message);
  void on(const Endpoint& from, const Ack& message);
  void on(const Endpoint& from, const IndirectPing& message);
  void on(const Endpoint& from, const Gossip& message);
  void on(const Endpoint& from, const TableHash& message);
  void on(const Endpoint& from, const BucketHashes& message);
  void on(const Endpoint& from, const BucketContents& message);

  enum class Source : std::uint8_t { kGossip, kReconciliation };
  void apply(const Endpoint& from, const std::vector<MemberUpdate>& updates, Source source);
  void apply(const Endpoint& from, MemberUpdate update, Source source);
  void apply_about_self(const MemberUpdate& update);
  void accuse(const NodeId& node, Incarnation incarnation, std::uint32_t accuser);
  void changed(const NodeId& node);
  void refresh_schedule();
  void announce_self();
  MemberUpdate self_update() const;
  void send_bucket_hashes(const Endpoint& to);
  void tell_of_its_death(const Endpoint& from);
  Duration stretched(Duration span) const;
  std::size_t transmissions() const;
  std::vector<MemberUpdate> piggyback();
  void send(const Endpoint& to, const Message& message);

  Member self_;
  MembershipSettings settings_;
  const Clock& clock_;
  RandomSource& random_;
  peer::Transport& transport_;
  logging::Logger& logger_;
  external::MachineList* machine_list_;
  Timer tick_;

  MemberTable table_;
  UpdateQueue queue_;
  Suspicions suspicions_;
  ProbeSchedule schedule_;
  std::uint64_t scheduled_topology_ = UINT64_MAX;
  std::map<Endpoint, NodeId> dead_endpoints_;
  std::vector<MembershipObserver*> observers_;

  bool joined_ = false;
  bool leaving_ = false;
  std::uint64_t next_sequence_ = 1;
  std::optional<Probe> probe_;
  std::deque<Relay> relays_;
  std::vector<Endpoint> contacts_;  ///< From seeds and the machine list.
  double gossip_allowance_ = 0;     ///< Bytes that may be sent now.
  MonotonicTime last_tick_;
  MonotonicTime last_heard_;  ///< From any peer.
  MonotonicTime next_probe_;
  MonotonicTime next_reconciliation_;
  MonotonicTime next_machine_list_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
  MembershipStatistics statistics_;
};

}  // namespace ochrespring::membership
