// Finds a zone's electorate, and creates or changes it through the key-value service when voters
// have failed, restarted or are too few. Calls the service only for that: leases need none.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "authority/messages.h"
#include "authority/types.h"
#include "external/key_value_store.h"
#include "membership/member_view.h"

namespace ochrespring::authority {

/// Key of a zone's electorate in the key-value service.
std::string electorate_key(const ZoneName& zone);

/// Counts of one keeper.
struct KeeperStatistics {
  std::uint64_t store_calls = 0;
  std::uint64_t electorates_created = 0;
  std::uint64_t swaps_lost = 0;     ///< Another keeper changed the electorate first.
  std::uint64_t swaps_unknown = 0;  ///< Settled by reading.
};

/// One per zone and node; used on the control loop only.
class ElectorateKeeper {
 public:
  struct Callbacks {
    std::function<void(const Endpoint&, const AuthorityMessage&)> send;
    std::function<void(const Electorate&)> on_electorate;  ///< A newer electorate is known.
    /// Whether the platform says that a node's machine is gone for good: such a voter can no longer
    /// grant anything.
    std::function<bool(const NodeId&)> machine_gone;
  };

  ElectorateKeeper(ZoneName zone, VoterIdentity self, const AuthoritySettings& settings,
                   external::KeyValueStore& store, Callbacks callbacks);

  void on_tick(MonotonicTime now, const std::vector<membership::Member>& members);
  void on_info(const ElectorateInfo& info, MonotonicTime now);
  void on_seal_reply(const SealReply& reply);
  /// Someone mentioned a later generation: ask for it.
  void on_generation(Generation generation);
  /// Engines have seen epochs of this generation: the electorate must reach it.
  void raise_floor(Generation generation);
  /// An electorate learnt from a message.
  void learn(const Electorate& electorate);

  const std::optional<Electorate>& electorate() const { return known_; }
  const KeeperStatistics& statistics() const { return statistics_; }

 private:
  enum class Phase : std::uint8_t { kWatching, kReading, kSealing, kSwapping };

  struct HeardIdentity {
    VoterIdentity identity;
    MonotonicTime heard;
  };

  void send_queries(MonotonicTime now);
  void resend_adoption(MonotonicTime now);
  bool change_needed() const;
  bool voter_usable(const VoterIdentity& voter) const;
  std::size_t usable_voters() const;
  void start_change(MonotonicTime now);
  void on_record(Result<std::optional<external::KeyValueEntry>, external::ExternalError> result);
  void begin_seal();
  bool sealed_majority() const;
  /// Whether the seals tell every lease that may still be running.
  bool leases_known() const;
  void begin_swap();
  std::vector<VoterIdentity> choose_voters() const;
  void on_swap(Result<external::SwapOutcome, external::ExternalError> result);
  /// `electorate` must not be part of this object: it changes here.
  void install(const Electorate& electorate);
  void give_up();
  AdoptRequest adoption() const;

  ZoneName zone_;
  VoterIdentity self_;
  AuthoritySettings settings_;
  external::KeyValueStore& store_;
  Callbacks callbacks_;
  std::optional<Electorate> known_;
  Generation mentioned_;
  Generation floor_;
  MonotonicTime now_{};
  std::vector<membership::Member> ranked_;
  std::size_t desired_size_ = 0;
  std::size_t rank_ = 0;
  std::map<NodeId, HeardIdentity> heard_;
  bool sealed_elsewhere_ = false;
  MonotonicTime next_query_{};
  std::optional<MonotonicTime> needed_since_;
  Duration retry_delay_{};
  Phase phase_ = Phase::kWatching;
  MonotonicTime phase_started_{};
  external::KeyVersion record_version_;
  std::optional<Electorate> record_;
  std::optional<Electorate> pending_;
  std::map<NodeId, SealReply> seals_;
  std::optional<AdoptRequest> adoption_;
  MonotonicTime adoption_until_{};
  KeeperStatistics statistics_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards store callbacks.
};

}  // namespace ochrespring::authority
