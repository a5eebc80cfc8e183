// What an outside observer sees of the system: engines and relays, callers, operators, and the
// revision each node says is in force. Times are true time, which no process of the system knows.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::oracle {

/// An engine accepted an order and began to carry it out.
struct OrderTaken {
  EngineId engine;
  ZoneName domain;  ///< Epochs are comparable within one; every engine of it has one authority.
  Incarnation incarnation;
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::string content;   ///< What the order asks for, for comparison and reports.
  bool changes = false;  ///< Takes the engine out of service (not a mere fence).
  NodeId sender;
  MonotonicTime sent;  ///< When it left the sender.
};

/// An engine finished an order, or lost it in a crash.
struct OrderEnded {
  EngineId engine;
  Incarnation incarnation;
  Epoch epoch;
  std::uint64_t sequence = 0;
};

/// An engine process restarted; `forgot_fence` if it no longer knows the highest fence.
struct EngineRestarted {
  EngineId engine;
  Incarnation incarnation;
  bool forgot_fence = false;
};

/// A back end began to run a request: its effect can no longer be denied.
struct RunStarted {
  EngineId backend;
  RequestId request;
  std::string idempotency_key;  ///< Empty if the request has none.
  MonotonicTime sent;           ///< When the request left the proxy.
};

enum class CutCause : std::uint8_t {
  kPlannedChange,  ///< An order took the engine out of service.
  kFault,          ///< A crash, a cut connection, a truncated or crossed answer.
};

/// A run ended before its answer was whole.
struct RunCut {
  EngineId backend;
  RequestId request;
  CutCause cause = CutCause::kFault;
};

/// A caller handed a request to a node.
struct RequestSubmitted {
  RequestId request;
  NodeId node;
  std::string idempotency_key;
  bool repeatable = true;
  std::string expected_answer;  ///< The only right whole answer.
};

enum class AnswerVerdict : std::uint8_t {
  kWhole,    ///< The answer's end was proven to the caller.
  kNotRun,   ///< The system said the request did not run.
  kUnknown,  ///< The system said it does not know, or cut the answer visibly.
  kGone,     ///< The caller went away, or its node died under it.
};

/// How a request ended for its caller.
struct RequestEnded {
  RequestId request;
  AnswerVerdict verdict = AnswerVerdict::kUnknown;
  std::string answer;  ///< For kWhole.
};

/// A back end was told to leave, by operators or by the machine list; or was put back to work.
struct BackendLeaving {
  EngineId backend;
  bool leaving = true;
};

struct NodeStarted {
  NodeId node;
  Incarnation incarnation;
};

/// A node's process ended.
struct NodeStopped {
  NodeId node;
  bool planned = false;
  std::vector<RequestId> open_requests;  ///< Callers it left without an end.
};

/// A node can, or cannot, be reached by all others and is running.
struct NodeReachable {
  NodeId node;
  bool reachable = true;
};

/// A node's own account of the configuration it works by.
struct RevisionInForce {
  NodeId node;
  Incarnation incarnation;
  Revision revision;
  std::uint64_t content_hash = 0;
  std::vector<MutationId> mutations;  ///< Whose effects the document shows.
};

/// An operator was told that a mutation was accepted.
struct MutationAccepted {
  MutationId mutation;  ///< Empty if its effect is not followed.
  Revision revision;
};

/// All faults have been healed and the settling time has passed: what must hold in the end is
/// checked.
struct Quiescent {};

using Observation =
    std::variant<OrderTaken, OrderEnded, EngineRestarted, RunStarted, RunCut, RequestSubmitted,
                 RequestEnded, BackendLeaving, NodeStarted, NodeStopped, NodeReachable,
                 RevisionInForce, MutationAccepted, Quiescent>;

/// Receives observations in the order of true time.
class ObservationSink {
 public:
  virtual ~ObservationSink() = default;
  virtual void observe(MonotonicTime at, const Observation& observation) = 0;
};

}  // namespace ochrespring::oracle
