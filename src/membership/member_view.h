// The member table as other subsystems read it.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace ochrespring::membership {

enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  ///< Probes fail; it may still refute.
  kLeaving,  ///< Announced a planned leave; finishes what it has.
  kDead,
};

/// One node of the system.
struct Member {
  NodeId node;
  Incarnation incarnation;
  Endpoint peer;  ///< Where node-to-node messages go.
  ZoneName zone;
  RegionName region;
  MemberState state = MemberState::kAlive;

  bool operator==(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node& incarnation& peer& zone& region& state;
  }
};

/// Told of changes on the control loop, after the table has changed.
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  virtual void on_member_changed(const Member& member) = 0;
};

/// Read side of membership; used on the control loop only.
class MemberView {
 public:
  virtual ~MemberView() = default;
  /// This node.
  virtual const Member& self() const = 0;
  /// All members not known dead, this node among them, ordered by node id.
  virtual std::vector<Member> members() const = 0;
  /// Grows with every change of the table.
  virtual std::uint64_t version() const = 0;
  /// The observer must outlive the view or be removed.
  virtual void add_observer(MembershipObserver& observer) = 0;
  virtual void remove_observer(MembershipObserver& observer) = 0;
};

}  // namespace ochrespring::membership
