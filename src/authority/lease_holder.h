// The claim of one shard at a node that may hold it, run by the chart lease_holder. Pure and
// copyable; time is handed in, what is to be sent or announced comes out as commands.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "authority/messages.h"
#include "authority/types.h"
#include "statechart/charts/lease_holder.h"
#include "statechart/machine.h"

namespace ochrespring::authority {

enum class LeaseCommand : std::uint8_t {
  kSendClaim,      ///< Send claim_request() to all voters.
  kSendRelease,    ///< Send release_notice() to all voters.
  kGained,         ///< The lease is held from now on.
  kLost,           ///< The lease is held no longer.
  kScheduleClaim,  ///< Post claim_due when a claim may succeed: see retry_after().
};

class LeaseHolder {
 public:
  LeaseHolder(const statechart::Chart& chart, ShardKey key, VoterIdentity self,
              const AuthoritySettings& settings);

  /// Voters, layout and eligibility as they are now; taken up by the next claim or renewal.
  void configure(const Electorate& electorate, ShardLayout layout, bool eligible);
  /// Epochs up to this one are taken: the next claim goes above it.
  void note_epoch(Epoch epoch);

  void claim_due(MonotonicTime now);
  void on_reply(const ClaimReply& reply, MonotonicTime now);
  /// Renews, gives up a claim or a lease by the clock; to be called at wake_at() or more often.
  void on_tick(MonotonicTime now);
  /// Gives up the claim or the lease.
  void release(MonotonicTime now);
  /// Asks for a new, higher epoch while holding: an engine has seen a higher one.
  void raise_epoch(Epoch above, MonotonicTime now);

  bool holds(MonotonicTime now) const;
  HeldLease lease() const;
  const ClaimRequest& claim_request() const { return request_; }
  const ReleaseNotice& release_notice() const { return release_; }
  /// What the voters' refusals said about when to try again; zero if nothing.
  Duration retry_after() const { return retry_after_; }
  /// Commands since the last call, in order.
  std::vector<LeaseCommand> take_commands();
  const statechart::Machine<statechart::LeaseHolder>& machine() const { return machine_; }

  /// Everything that decides what this claimant does next; for exploration.
  template <class Archive>
  void save_state(Archive& archive) const {
    archive << machine_.state_index() << eligible_ << request_.epoch << request_.round
            << sent_.time_since_epoch() << next_renewal_.time_since_epoch()
            << deadline_.time_since_epoch() << gained_.time_since_epoch() << round_counted_
            << granted_by_ << refused_by_ << held_epoch_ << highest_;
  }

  /// Chart hooks.
  bool evaluate(statechart::LeaseHolder::Guard guard) const;
  void run(statechart::LeaseHolder::Action action);

 private:
  using Event = statechart::LeaseHolder::Event;

  void post(Event event, MonotonicTime now);
  void start_round(bool renewal);
  void count_refusal(const ClaimReply& reply);
  MonotonicTime next_deadline() const;

  statechart::Machine<statechart::LeaseHolder> machine_;
  AuthoritySettings settings_;
  Electorate electorate_;
  bool eligible_ = false;
  ClaimRequest request_;
  ReleaseNotice release_;
  MonotonicTime now_{};
  MonotonicTime sent_{};
  MonotonicTime next_renewal_{};
  MonotonicTime deadline_{};
  MonotonicTime gained_{};
  bool round_counted_ = true;
  std::set<NodeId> granted_by_;
  std::set<NodeId> refused_by_;
  Epoch held_epoch_;
  ShardLayout held_layout_;
  Epoch highest_;
  Duration retry_after_{};
  std::vector<LeaseCommand> commands_;
};

}  // namespace ochrespring::authority
