#include "fleet/mutation.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/hash.h"
#include "fleet/diff.h"
#include "fleet/validation.h"
#include "wire/codec.h"

namespace ochrespring::fleet {

namespace {

using Outcome = Result<void, FleetError>;

std::string describe(const ResourceKey& key) {
  return std::string(to_string(key.kind)) + " '" + key.name + "'";
}

auto not_found(const ResourceKey& key) {
  return fleet_failure(FleetErrc::kNotFound, "there is no " + describe(key));
}

Command without_revisions(Command command) {
  const auto strip = [](Resource& resource) {
    resource = with_changed_at(std::move(resource), Revision());
  };
  if (auto* create = std::get_if<CreateResource>(&command)) {
    strip(create->resource);
  } else if (auto* update = std::get_if<UpdateResource>(&command)) {
    strip(update->resource);
  } else if (auto* many = std::get_if<ApplyResources>(&command)) {
    std::for_each(many->resources.begin(), many->resources.end(), strip);
  }
  return command;
}

/// Carries out one command on a document whose collections are ordered.
class CommandApplier {
 public:
  CommandApplier(FleetDocument& document, std::optional<Revision> expected)
      : document_(document), expected_(expected) {}

  Outcome operator()(const CreateResource& command) {
    const ResourceKey key = key_of(command.resource);
    if (expected_) {
      return fleet_failure(FleetErrc::kInvalid, "a create takes no expected revision",
                           {{"expected_revision", "must be absent when creating", 0}});
    }
    if (find_resource(document_, key)) {
      return fleet_failure(FleetErrc::kAlreadyExists, describe(key) + " exists already");
    }
    put_resource(document_, command.resource);
    return outcome::success();
  }

  Outcome operator()(const UpdateResource& command) {
    const ResourceKey key = key_of(command.resource);
    const auto existing = find_resource(document_, key);
    if (!existing) {
      return not_found(key);
    }
    BOOST_OUTCOME_TRY(expect_resource(key, changed_at(*existing)));
    put_with_kept_drain(command.resource, drain_marks());
    return outcome::success();
  }

  Outcome operator()(const DeleteResource& command) {
    if (command.key.kind == ResourceKind::kPolicy) {
      return fleet_failure(FleetErrc::kInUse, "the policy cannot be deleted, only updated");
    }
    const auto existing = find_resource(document_, command.key);
    if (!existing) {
      return not_found(command.key);
    }
    BOOST_OUTCOME_TRY(expect_resource(command.key, changed_at(*existing)));
    erase_resource(document_, command.key);
    return outcome::success();
  }

  Outcome operator()(const ApplyResources& command) {
    BOOST_OUTCOME_TRY(expect_document());
    BOOST_OUTCOME_TRY(named, unique_keys(command.resources));
    const DrainMarks marks = drain_marks();
    for (const Resource& resource : command.resources) {
      put_with_kept_drain(resource, marks);
    }
    if (command.prune) {
      erase_all_but(named);
    }
    return outcome::success();
  }

  Outcome operator()(const DrainEngine& command) {
    const ResourceKey key{ResourceKind::kEngine, command.engine.value()};
    const auto engine = std::find_if(document_.engines.begin(), document_.engines.end(),
                                     [&](const Engine& e) { return e.id == command.engine; });
    if (engine == document_.engines.end()) {
      return not_found(key);
    }
    BOOST_OUTCOME_TRY(expect_resource(key, engine->changed_at));
    engine->drained = command.drained;
    return outcome::success();
  }

  Outcome operator()(const DrainServer& command) {
    BOOST_OUTCOME_TRY(expect_document());
    bool found = false;
    for (Engine& engine : document_.engines) {
      if (engine.server == command.server) {
        engine.drained = command.drained;
        found = true;
      }
    }
    if (!found) {
      return fleet_failure(FleetErrc::kNotFound,
                           "no engine is on server '" + command.server.value() + "'");
    }
    return outcome::success();
  }

 private:
  using DrainMarks = std::map<EngineId, bool>;

  DrainMarks drain_marks() const {
    DrainMarks marks;
    for (const Engine& engine : document_.engines) {
      marks.emplace(engine.id, engine.drained);
    }
    return marks;
  }

  /// Keeps an existing engine's drain mark, which only the drain commands change.
  void put_with_kept_drain(Resource resource, const DrainMarks& marks) {
    if (auto* engine = std::get_if<Engine>(&resource)) {
      const auto mark = marks.find(engine->id);
      if (mark != marks.end()) {
        engine->drained = mark->second;
      }
    }
    put_resource(document_, std::move(resource));
  }

  Outcome expect_resource(const ResourceKey& key, Revision actual) const {
    return expect(describe(key) + " was last changed", actual);
  }
  Outcome expect_document() const { return expect("the document is", document_.revision); }

  Outcome expect(const std::string& subject, Revision actual) const {
    if (expected_ && *expected_ != actual) {
      return fleet_failure(FleetErrc::kRevisionMismatch,
                           subject + " at revision " + std::to_string(actual.value()) +
                               ", expected " + std::to_string(expected_->value()));
    }
    return outcome::success();
  }

  static Result<std::set<ResourceKey>, FleetError> unique_keys(
      const std::vector<Resource>& resources) {
    std::set<ResourceKey> keys;
    std::vector<FieldError> repeated;
    for (const Resource& resource : resources) {
      const ResourceKey key = key_of(resource);
      if (!keys.insert(key).second) {
        repeated.push_back({path_of(key), "is given twice", 0});
      }
    }
    if (!repeated.empty()) {
      return fleet_failure(FleetErrc::kInvalid, "a resource is given twice", std::move(repeated));
    }
    return keys;
  }

  void erase_all_but(const std::set<ResourceKey>& kept) {
    for (const ResourceKind kind : kResourceKinds) {
      for (const Resource& resource : list_resources(document_, kind)) {
        const ResourceKey key = key_of(resource);
        if (!kept.contains(key)) {
          erase_resource(document_, key);
        }
      }
    }
  }

  FleetDocument& document_;
  std::optional<Revision> expected_;
};

/// Errors of `after` that `before` did not have. A rule that became stricter since a document was
/// accepted must not stop unrelated changes.
std::vector<FieldError> new_errors(const FleetDocument& before, const FleetDocument& after) {
  std::vector<FieldError> errors = validate(after);
  if (errors.empty()) {
    return errors;
  }
  const std::vector<FieldError> old_errors = validate(before);
  std::erase_if(errors, [&old_errors](const FieldError& error) {
    return std::find(old_errors.begin(), old_errors.end(), error) != old_errors.end();
  });
  return errors;
}

Outcome check_valid(const FleetDocument& before, const FleetDocument& after,
                    const Command& command) {
  std::vector<FieldError> errors = new_errors(before, after);
  if (errors.empty()) {
    return outcome::success();
  }
  if (std::holds_alternative<DeleteResource>(command)) {
    const auto& key = std::get<DeleteResource>(command).key;
    return fleet_failure(FleetErrc::kInUse, describe(key) + " is still referred to",
                         std::move(errors));
  }
  const std::string count = std::to_string(errors.size());
  return fleet_failure(FleetErrc::kInvalid, count + " field(s) are wrong", std::move(errors));
}

void stamp(FleetDocument& document, const std::vector<ResourceChange>& changes) {
  for (const ResourceChange& change : changes) {
    if (change.after) {
      put_resource(document, with_changed_at(*change.after, document.revision));
    }
  }
}

void record(FleetDocument& document, const Mutation& mutation, std::string summary) {
  document.recent_mutations.push_back({mutation.id, document.revision, fingerprint(mutation),
                                       mutation.wall_milliseconds, mutation.author,
                                       std::move(summary)});
  const std::size_t count = document.recent_mutations.size();
  if (count > kRecentMutations) {
    document.recent_mutations.erase(
        document.recent_mutations.begin(),
        document.recent_mutations.begin() + static_cast<std::ptrdiff_t>(count - kRecentMutations));
  }
}

}  // namespace

Result<FleetDocument, FleetError> apply(const FleetDocument& document, const Mutation& mutation) {
  if (!is_valid_mutation_id(mutation.id)) {
    return fleet_failure(FleetErrc::kInvalid, "the mutation needs an id",
                         {{"mutation_id", "must be from 1 to 128 bytes", 0}});
  }
  if (const auto applied = find_applied(document, mutation.id)) {
    if (applied->fingerprint == fingerprint(mutation)) {
      return document;
    }
    return fleet_failure(FleetErrc::kMutationIdReused,
                         "mutation id '" + mutation.id.value() + "' was used for another change");
  }

  FleetDocument next = document;
  sort_resources(next);
  BOOST_OUTCOME_TRY(std::visit(CommandApplier(next, mutation.expected_revision),
                               without_revisions(mutation.command)));
  const std::vector<ResourceChange> changes = diff(document, next);
  if (changes.empty()) {
    return document;
  }
  BOOST_OUTCOME_TRY(check_valid(document, next, mutation.command));
  next.revision = document.revision.next();
  stamp(next, changes);
  record(next, mutation, summarize(changes));
  return next;
}

bool is_valid_mutation_id(const MutationId& id) {
  return !id.empty() && id.value().size() <= kLongestMutationId;
}

std::optional<AppliedMutation> find_applied(const FleetDocument& document, const MutationId& id) {
  const auto& recent = document.recent_mutations;
  const auto found = std::find_if(recent.begin(), recent.end(),
                                  [&id](const AppliedMutation& entry) { return entry.id == id; });
  return found == recent.end() ? std::nullopt : std::optional(*found);
}

std::uint64_t fingerprint(const Mutation& mutation) {
  const std::uint64_t command = stable_hash(wire::encode(without_revisions(mutation.command)));
  return combine_hashes(command, stable_hash(wire::encode(mutation.expected_revision)));
}

}  // namespace ochrespring::fleet
