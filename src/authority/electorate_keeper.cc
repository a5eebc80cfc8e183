#include "authority/electorate_keeper.h"

#include <algorithm>
#include <utility>

#include "authority/shards.h"
#include "wire/codec.h"

namespace ochrespring::authority {

namespace {

constexpr Duration kQueryUnknown = std::chrono::milliseconds(500);
constexpr Duration kQueryKnown = std::chrono::seconds(2);
constexpr Duration kHeardFor = std::chrono::seconds(10);
constexpr Duration kPhaseTimeout = std::chrono::seconds(2);
constexpr Duration kFirstRetry = std::chrono::seconds(1);
constexpr Duration kLongestRetry = std::chrono::seconds(16);
/// Wait before a node that knows no electorate reads the service: its peers may know one.
constexpr Duration kUnknownPatience = std::chrono::milliseconds(1200);

}  // namespace

std::string electorate_key(const ZoneName& zone) {
  return "authority/" + zone.value();
}

ElectorateKeeper::ElectorateKeeper(ZoneName zone, VoterIdentity self,
                                   const AuthoritySettings& settings,
                                   external::KeyValueStore& store, Callbacks callbacks)
    : zone_(std::move(zone)),
      self_(std::move(self)),
      settings_(settings),
      store_(store),
      callbacks_(std::move(callbacks)),
      retry_delay_(kFirstRetry) {}

void ElectorateKeeper::on_tick(MonotonicTime now, const std::vector<membership::Member>& members) {
  now_ = now;
  ranked_ = rank_voters(zone_, members);
  desired_size_ = electorate_size(zone_, members, settings_.largest_electorate);
  const auto own = std::find_if(ranked_.begin(), ranked_.end(),
                                [&](const auto& member) { return member.node == self_.node; });
  rank_ = static_cast<std::size_t>(own - ranked_.begin());
  heard_[self_.node] = HeardIdentity{self_, now};
  if (now >= next_query_) {
    send_queries(now);
    resend_adoption(now);
  }
  if (phase_ != Phase::kWatching && now >= phase_started_ + kPhaseTimeout) {
    give_up();
  }
  if (!change_needed() || rank_ >= settings_.standbys) {
    needed_since_.reset();
    return;
  }
  if (!needed_since_) {
    needed_since_ = now;
  }
  const bool working = known_ && !sealed_elsewhere_ && usable_voters() >= known_->majority();
  const Duration patience = working ? settings_.electorate_patience : kUnknownPatience;
  const Duration stagger = std::chrono::seconds(1) * static_cast<int>(rank_);
  if (phase_ == Phase::kWatching && now >= *needed_since_ + patience + stagger &&
      now >= phase_started_ + retry_delay_) {
    start_change(now);
  }
}

void ElectorateKeeper::send_queries(MonotonicTime now) {
  const bool keeper = rank_ < settings_.standbys;
  const bool current = known_ && known_->generation >= mentioned_;
  next_query_ =
      now + (current ? kQueryKnown * (keeper ? static_cast<int>(rank_) + 1 : 5) : kQueryUnknown);
  if (current && !keeper && known_->find(self_.node) == nullptr) {
    return;
  }
  std::set<Endpoint> targets;
  for (std::size_t i = 0; i < ranked_.size() && i < settings_.largest_electorate; ++i) {
    targets.insert(ranked_[i].peer);
  }
  if (known_) {
    for (const VoterIdentity& voter : known_->voters) {
      targets.insert(voter.peer);
    }
  }
  targets.erase(self_.peer);
  for (const Endpoint& target : targets) {
    callbacks_.send(target, ElectorateQuery{zone_});
  }
}

void ElectorateKeeper::resend_adoption(MonotonicTime now) {
  if (!adoption_ || now >= adoption_until_) {
    adoption_.reset();
    return;
  }
  for (const VoterIdentity& voter : adoption_->electorate.voters) {
    callbacks_.send(voter.peer, *adoption_);
  }
}

void ElectorateKeeper::on_info(const ElectorateInfo& info, MonotonicTime now) {
  heard_[info.sender.node] = HeardIdentity{info.sender, now};
  if (info.electorate) {
    learn(*info.electorate);
    if (known_ && info.electorate->generation == known_->generation) {
      sealed_elsewhere_ = sealed_elsewhere_ || info.sealed;
    }
  }
}

void ElectorateKeeper::on_generation(Generation generation) {
  if (generation > mentioned_) {
    mentioned_ = generation;
    next_query_ = now_;
  }
}

void ElectorateKeeper::raise_floor(Generation generation) {
  floor_ = std::max(floor_, generation);
}

void ElectorateKeeper::learn(const Electorate& electorate) {
  if (known_ && electorate.generation <= known_->generation) {
    return;
  }
  known_ = electorate;
  sealed_elsewhere_ = false;
  needed_since_.reset();
  callbacks_.on_electorate(*known_);
}

bool ElectorateKeeper::voter_usable(const VoterIdentity& voter) const {
  const bool member = std::any_of(ranked_.begin(), ranked_.end(), [&](const auto& candidate) {
    return candidate.node == voter.node;
  });
  const auto heard = heard_.find(voter.node);
  const bool restarted = heard != heard_.end() && heard->second.identity.boot != voter.boot;
  return member && !restarted;
}

std::size_t ElectorateKeeper::usable_voters() const {
  return static_cast<std::size_t>(
      std::count_if(known_->voters.begin(), known_->voters.end(),
                    [this](const VoterIdentity& voter) { return voter_usable(voter); }));
}

bool ElectorateKeeper::change_needed() const {
  if (!known_ || sealed_elsewhere_) {
    return true;
  }
  const bool too_low = known_->generation < floor_;
  return too_low || usable_voters() < known_->voters.size() ||
         known_->voters.size() < desired_size_;
}

void ElectorateKeeper::start_change(MonotonicTime now) {
  phase_ = Phase::kReading;
  phase_started_ = now;
  ++statistics_.store_calls;
  store_.get(electorate_key(zone_), [this, alive = std::weak_ptr(alive_)](auto result) {
    if (!alive.expired() && phase_ == Phase::kReading) {
      on_record(std::move(result));
    }
  });
}

void ElectorateKeeper::on_record(
    Result<std::optional<external::KeyValueEntry>, external::ExternalError> result) {
  if (result.has_error()) {
    give_up();
    return;
  }
  record_.reset();
  record_version_ = external::KeyVersion();
  if (result.value()) {
    record_version_ = result.value()->version;
    const auto decoded = wire::decode<Electorate>(result.value()->value);
    if (decoded.has_value()) {
      record_ = decoded.value();
    }
  }
  if (record_ && pending_ && *record_ == *pending_) {
    install(Electorate(*pending_));  // The swap whose answer was lost had taken effect.
    return;
  }
  pending_.reset();
  if (record_ && (!known_ || record_->generation > known_->generation)) {
    learn(*record_);
    give_up();
    return;
  }
  if (known_) {
    begin_seal();
  } else {
    begin_swap();
  }
}

/// No new electorate may be written before a majority of the old one can grant nothing more: the
/// two would otherwise grant the same shard.
void ElectorateKeeper::begin_seal() {
  phase_ = Phase::kSealing;
  phase_started_ = now_;
  seals_.clear();
  for (const VoterIdentity& voter : known_->voters) {
    callbacks_.send(voter.peer, SealRequest{zone_, known_->generation});
  }
  if (sealed_majority()) {
    begin_swap();
  }
}

void ElectorateKeeper::on_seal_reply(const SealReply& reply) {
  heard_[reply.voter.node] = HeardIdentity{reply.voter, now_};
  if (phase_ != Phase::kSealing || !known_ || reply.generation != known_->generation) {
    return;
  }
  seals_[reply.voter.node] = reply;
  if (sealed_majority()) {
    begin_swap();
  }
}

bool ElectorateKeeper::sealed_majority() const {
  std::size_t sealed = 0;
  for (const VoterIdentity& voter : known_->voters) {
    const bool gone = callbacks_.machine_gone && callbacks_.machine_gone(voter.node);
    sealed += gone || seals_.contains(voter.node) ? 1 : 0;
  }
  return sealed >= known_->majority();
}

bool ElectorateKeeper::leases_known() const {
  const auto told =
      std::count_if(known_->voters.begin(), known_->voters.end(), [&](const auto& voter) {
        const auto seal = seals_.find(voter.node);
        return seal != seals_.end() && seal->second.voter.boot == voter.boot && seal->second.active;
      });
  return static_cast<std::size_t>(told) >= known_->majority();
}

std::vector<VoterIdentity> ElectorateKeeper::choose_voters() const {
  std::vector<VoterIdentity> voters;
  const auto add = [&](const NodeId& node) {
    const auto heard = heard_.find(node);
    const bool fresh = heard != heard_.end() && now_ < heard->second.heard + kHeardFor;
    const bool listed = std::any_of(voters.begin(), voters.end(),
                                    [&](const auto& voter) { return voter.node == node; });
    if (fresh && !listed && voters.size() < desired_size_) {
      voters.push_back(heard->second.identity);
    }
  };
  if (known_) {
    for (const VoterIdentity& voter : known_->voters) {
      if (voter_usable(voter)) {
        add(voter.node);
      }
    }
  }
  for (const membership::Member& member : ranked_) {
    add(member.node);
  }
  if (voters.size() % 2 == 0 && !voters.empty()) {
    voters.pop_back();
  }
  return voters;
}

void ElectorateKeeper::begin_swap() {
  Electorate next;
  next.zone = zone_;
  next.voters = choose_voters();
  if (next.voters.empty()) {
    give_up();
    return;
  }
  Generation highest = std::max(mentioned_, floor_);
  highest = std::max(highest, known_ ? known_->generation : Generation());
  highest = std::max(highest, record_ ? record_->generation : Generation());
  next.generation = highest.next();
  phase_ = Phase::kSwapping;
  phase_started_ = now_;
  pending_ = next;
  ++statistics_.store_calls;
  store_.compare_and_swap(electorate_key(zone_), record_version_, wire::encode(next), std::nullopt,
                          [this, alive = std::weak_ptr(alive_)](auto result) {
                            if (!alive.expired() && phase_ == Phase::kSwapping) {
                              on_swap(std::move(result));
                            }
                          });
}

void ElectorateKeeper::on_swap(Result<external::SwapOutcome, external::ExternalError> result) {
  if (result.has_error()) {
    // Whether it took effect is unknown; pending_ stays, and the next change begins by reading.
    ++statistics_.swaps_unknown;
    give_up();
    return;
  }
  if (result.value().swapped) {
    install(Electorate(*pending_));
    return;
  }
  ++statistics_.swaps_lost;
  pending_.reset();
  give_up();
  if (result.value().current) {
    const auto decoded = wire::decode<Electorate>(result.value().current->value);
    if (decoded.has_value()) {
      learn(decoded.value());
    }
  }
}

void ElectorateKeeper::install(const Electorate& electorate) {
  ++statistics_.electorates_created;
  adoption_ = adoption();
  adoption_->electorate = electorate;
  adoption_until_ = now_ + settings_.lease;
  pending_.reset();
  phase_ = Phase::kWatching;
  retry_delay_ = kFirstRetry;
  const bool handed_over = known_.has_value() && leases_known();
  learn(electorate);
  if (!handed_over) {
    adoption_.reset();  // Nothing is known of earlier leases: the voters wait them out.
    return;
  }
  resend_adoption(now_);
}

AdoptRequest ElectorateKeeper::adoption() const {
  AdoptRequest request;
  for (const auto& [node, seal] : seals_) {
    if (seal.layout.revision >= request.layout.revision) {
      request.layout = seal.layout;
    }
    request.leases.insert(request.leases.end(), seal.leases.begin(), seal.leases.end());
  }
  return request;
}

void ElectorateKeeper::give_up() {
  phase_ = Phase::kWatching;
  phase_started_ = now_;
  retry_delay_ = std::min(retry_delay_ * 2, kLongestRetry);
}

}  // namespace ochrespring::authority
