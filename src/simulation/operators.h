// Operators: race each other with changes, drains and machine moves, and repeat what got no answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "fleet/mutation.h"
#include "simulation/callers.h"
#include "simulation/leaving_backends.h"

namespace ochrespring::simulation {

class Operators {
 public:
  Operators(Surroundings surroundings, NodeSlots& nodes, LeavingBackends& leaving)
      : surroundings_(surroundings), nodes_(nodes), leaving_(leaving) {}

  /// Puts the first configuration in force.
  void install(std::vector<fleet::Resource> resources);
  /// Creates a tenant named after the mutation.
  void create_tenant(std::uint32_t node);
  /// Drains an engine and undrains it later.
  void drain(std::uint32_t node, const EngineId& engine, Duration span);
  /// Changes the role operators want of an engine.
  void change_role(std::uint32_t node, const EngineId& engine, std::uint64_t choice);
  /// Changes the serving version of the model.
  void change_version(std::uint32_t node);

  std::uint64_t accepted() const { return accepted_; }

 private:
  using Accepted = std::function<void()>;

  /// One change under way; repeated under the same id until it is accepted or refused.
  struct Change {
    fleet::Mutation mutation;
    Accepted on_accepted;
    bool creates_tenant = false;
    bool persistent = false;  ///< Repeated for ever.
    std::uint32_t attempts = 0;
  };

  void begin(std::uint32_t node, fleet::Command command, Accepted on_accepted, bool persistent);
  void attempt(std::uint32_t node, const std::shared_ptr<Change>& change);
  void on_answer(const std::shared_ptr<Change>& change, std::uint64_t attempt_number,
                 const Result<operator_api::MutationOutcome, operator_api::AdminError>& result);
  void retry_later(const std::shared_ptr<Change>& change);
  void undrain(std::uint32_t node, const EngineId& engine);
  std::shared_ptr<const fleet::FleetDocument> document_at(std::uint32_t node) const;

  Surroundings surroundings_;
  NodeSlots& nodes_;
  LeavingBackends& leaving_;
  std::uint64_t next_mutation_ = 1;
  std::uint64_t accepted_ = 0;
  std::map<EngineId, bool> drain_under_way_;
};

}  // namespace ochrespring::simulation
