// Backup engines of streams: chooses the engine that the KV cache of a run is replicated to, and
// decides whether a stream whose engine failed is resumed there.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "gateway/backend_request.h"
#include "gateway/event_splitter.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/run_inquiry.h"
#include "gateway/send_gate.h"
#include "gateway/software_id.h"
#include "gateway/types.h"
#include "http/errc.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Whether the runs of a request are replicated: the service's engines must support it, and at
/// least kMinReplicatedEvents events of output must be expected. `shape` and `prompt` may be null.
/// The request needs an id, by which the backup engine knows the run. A retryable stream is
/// replicated only with `replicate_retryable_streams`: without a copy it loses only the time to
/// prefill its output so far, which usually costs less than copies.
bool wants_backup(const Route& route, const EngineShape* shape, const Prompt* prompt,
                  std::string_view request_id, bool replicate_retryable_streams);

/// Shorter streams do not justify the memory that a copy occupies at a second engine; see
/// docs/design/load-decisions.md, part 4.
inline constexpr std::uint64_t kMinReplicatedEvents = 8;

/// Chooses backup engines from this node's state, without side effects. The referenced objects must
/// outlive it.
class BackupChooser {
 public:
  struct Query {
    const Backend* runner = nullptr;
    std::string_view request_id;                 ///< Key for rendezvous hashing.
    const std::set<BackendId>* avoid = nullptr;  ///< Engines the request was sent to.
  };

  /// With a null `gate`, rate limits and backoff exclude no engine.
  BackupChooser(const FleetState& fleet, const LoadTable& loads, const SendGate* gate)
      : fleet_(fleet), loads_(loads), gate_(gate) {}

  /// Returns the engine with the highest rendezvous weight among the less loaded half of those that
  /// run the runner's software and can hold the copy, if possible in the runner's zone; null if
  /// there is none. Does not draw from the node's random source, so that the placement of other
  /// requests does not change.
  const Backend* choose(const Query& query, MonotonicTime now) const;

 private:
  bool can_hold_copy(const Backend& engine, const Query& query, MonotonicTime now) const;
  /// Requests at an engine per slot.
  double load_of(const Backend& engine, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  const SendGate* gate_;
};

/// Why a stream is not resumed at its backup engine.
enum class BackupObstacle : std::uint8_t {
  kNone,  ///< It may be resumed.
  kNoBackup,
  kAlreadyUsed,         ///< A resume was already attempted.
  kRunnerMayBeRunning,  ///< The runner is unresponsive, but still registered.
  kRetryPreferred,      ///< The runner most likely never received it, and the route allows a retry.
  kNoEventReceived,     ///< No event with an id: the run may not have started or been copied.
  kUnknownPosition,     ///< An event without an id was forwarded, so the position is unknown.
  kNotRegistered,       ///< The backup engine is not registered, or another one has its address.
  kLeaving,             ///< The backup engine has announced that it is leaving.
  kNotAccepting,        ///< The backup engine accepts nothing from this node now.
  kNoTime,
};

/// Text for logs; empty for kNone.
std::string_view describe(BackupObstacle obstacle);

/// How the run of a stream at its first engine failed.
struct FailedRun {
  http::HttpErrc error = http::HttpErrc::kReset;
  bool runner_missing = false;  ///< The engine is unregistered or was replaced.
  bool retry_allowed = false;   ///< The route allows another retry.
  bool has_time = true;
};

/// Whether `error` means that the connection was closed or reset. Most engines drop a run once its
/// connection has closed, but not all, so it does not show that the run has ended.
bool is_connection_break(http::HttpErrc error);

/// A run and the engine that holds its copy.
struct ReplicatedRun {
  BackendId runner;
  Endpoint runner_address;
  SoftwareId software;  ///< Of the runner and the backup engine.
  BackendId engine;     ///< Empty if the run is not replicated.
  std::optional<http::ResponseHead> head;
  std::optional<MonotonicTime> first_event_with_id;  ///< When it was forwarded.
};

/// The backup of one request. Decides from this node's state and sends nothing. Used on one event
/// loop.
class StreamBackup {
 public:
  /// The referenced objects must outlive it.
  StreamBackup(const FleetState& fleet, const LoadTable& loads) : fleet_(fleet), loads_(loads) {}

  /// Enables replication for the runs of the request. `gate` may be null.
  void enable(std::string request_id, const SendGate* gate);
  /// Returns the backup engine of a run that starts at `runner`; none if the run is not replicated.
  /// A stream is resumed at a backup only once, so it gets no second one after that.
  std::optional<Endpoint> begin_run(const Backend& runner, const std::set<BackendId>& tried,
                                    MonotonicTime now);
  void note_event(const StreamEvent& event, MonotonicTime now);
  /// Stores the head with which the runner started the stream.
  void note_head(const http::ResponseHead& head) { run_.head = head; }
  /// The run that the functions of this class refer to, to be restored if the session returns to
  /// it.
  const ReplicatedRun& run() const { return run_; }
  void restore_run(ReplicatedRun run) { run_ = std::move(run); }
  /// Head of the runner's answer, which also applies to the resumed stream; none if the runner had
  /// not answered.
  const std::optional<http::ResponseHead>& head() const { return run_.head; }

  /// Whether the run at `runner` has a copy and that engine is unregistered or was replaced. An
  /// unregistered engine may still work on its runs.
  bool is_runner_missing(const BackendId& runner, MonotonicTime now) const;
  /// Whether another process answers at the runner's address, so that the run has ended.
  bool is_runner_replaced(MonotonicTime now) const { return is_replaced(run_.runner, now); }
  /// What prevents that the stream is resumed once its run is known to have ended.
  BackupObstacle obstacle(const FailedRun& run, MonotonicTime now) const;
  /// Identifies the run at its engine. Must not be called before obstacle() was kNone.
  RunQuery run_query(Duration patience) const;
  /// The engine that holds the copy; null if there is none or it is not registered.
  const Backend* engine() const;
  /// Identifies the replicated run to its backup engine.
  RunReference run_reference() const { return {run_.runner_address, request_id_}; }
  /// Whether the current run has a backup engine.
  bool is_replicated() const { return !run_.engine.empty(); }
  /// Called when the stream is about to be resumed at the backup.
  void mark_used() { used_ = true; }

 private:
  BackupObstacle engine_obstacle(MonotonicTime now) const;
  bool is_replaced(const BackendId& id, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  const SendGate* gate_ = nullptr;
  std::string request_id_;  ///< Empty if runs are not replicated.
  ReplicatedRun run_;
  bool used_ = false;
  bool saw_event_without_id_ = false;  ///< An event without an id was forwarded.
};

}  // namespace ochrespring::gateway
