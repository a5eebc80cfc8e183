// Operators' changes as typed commands, and the pure function that applies them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/errc.h"
#include "fleet/resource.h"
#include "fleet/types.h"

namespace ochrespring::fleet {

/// Adds a resource that must not exist.
struct CreateResource {
  Resource resource;

  bool operator==(const CreateResource&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& resource;
  }
};

/// Replaces a resource that must exist.
struct UpdateResource {
  Resource resource;

  bool operator==(const UpdateResource&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& resource;
  }
};

/// Removes a resource that must exist and that nothing refers to.
struct DeleteResource {
  ResourceKey key;

  bool operator==(const DeleteResource&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key;
  }
};

/// Creates or replaces many resources at once, all or none. An engine's `drained` mark is kept as
/// it is in the document, since drains have their own commands.
struct ApplyResources {
  std::vector<Resource> resources;
  bool prune = false;  ///< Also removes every resource not named, except the policy.

  bool operator==(const ApplyResources&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& resources& prune;
  }
};

/// Asks for no work on one engine, or ends that.
struct DrainEngine {
  EngineId engine;
  bool drained = true;

  bool operator==(const DrainEngine&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& drained;
  }
};

/// Asks for no work on any engine of one server, or ends that.
struct DrainServer {
  ServerId server;
  bool drained = true;

  bool operator==(const DrainServer&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& server& drained;
  }
};

using Command = std::variant<CreateResource, UpdateResource, DeleteResource, ApplyResources,
                             DrainEngine, DrainServer>;

/// One change asked for by an operator. Serializable: since apply() is deterministic, a node at the
/// preceding revision can be brought forward by the mutation alone.
struct Mutation {
  MutationId id;  ///< Required; the same id never takes effect twice.
  /// Precondition: the named resource's `changed_at` for update, delete and engine drain; the
  /// document's revision for apply and server drain; not allowed for create.
  std::optional<Revision> expected_revision;
  Command command;
  std::string author;                  ///< For the history.
  std::int64_t wall_milliseconds = 0;  ///< For the history; set by the accepting node.

  bool operator==(const Mutation&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& expected_revision& command& author& wall_milliseconds;
  }
};

/// Longest mutation id in bytes.
inline constexpr std::size_t kLongestMutationId = 128;

/// Whether an id may name a mutation.
bool is_valid_mutation_id(const MutationId& id);

/// The document after the mutation, one revision later. The document is returned unchanged, at its
/// own revision, if the mutation was applied before or changes nothing. Pure and deterministic. The
/// result has no field errors that `document` did not have.
Result<FleetDocument, FleetError> apply(const FleetDocument& document, const Mutation& mutation);

/// Record of an accepted mutation, or none if it is not among the recent ones.
std::optional<AppliedMutation> find_applied(const FleetDocument& document, const MutationId& id);

/// Stable hash of what a mutation asks for, without its id, author and time.
std::uint64_t fingerprint(const Mutation& mutation);

}  // namespace ochrespring::fleet
