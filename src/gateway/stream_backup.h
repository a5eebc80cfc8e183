// Backup engines of streams: where the KV cache of a run is replicated to, and whether a stream
// that has lost its server continues there.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "gateway/backend_request.h"
#include "gateway/event_splitter.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/send_gate.h"
#include "gateway/types.h"
#include "http/errc.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Whether the runs of a request are replicated: its service's engines can do that, and the output
/// is expected to have at least kLeastBackedUpEvents events. `shape` and `prompt` may be null. A
/// request without an id cannot be named to the backup engine. A stream that its route lets be sent
/// anew loses only the time to prefill again what it has made, mostly less than copies cost.
bool wants_backup(const Route& route, const EngineShape* shape, const Prompt* prompt,
                  std::string_view request_id, bool replicates_resumable);

/// Events from which on a copy is worth the memory that it occupies at a second engine;
/// docs/design/load-decisions.md, part 4.
inline constexpr std::uint64_t kLeastBackedUpEvents = 8;

/// Chooses backup engines from what a node knows. Pure; references outlive it.
class BackupChooser {
 public:
  struct Query {
    const Backend* runner = nullptr;
    std::string_view request_id;                 ///< Key of the rendezvous hashing.
    const std::set<BackendId>* avoid = nullptr;  ///< Engines the request was sent to.
  };

  /// `gate`: null: all engines have room.
  BackupChooser(const FleetState& fleet, const LoadTable& loads, const SendGate* gate)
      : fleet_(fleet), loads_(loads), gate_(gate) {}

  /// The engine of highest rendezvous weight among the less loaded half of those that may hold the
  /// copy, in the runner's zone if there is one; null: there is none. Draws nothing from the node's
  /// random source, so that placement of other requests is not changed by it.
  const Backend* choose(const Query& query, MonotonicTime now) const;

 private:
  bool may_hold(const Backend& engine, const Query& query, MonotonicTime now) const;
  /// Requests at an engine for each of its slots.
  double load_of(const Backend& engine, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  const SendGate* gate_;
};

/// Why a stream does not continue at its backup engine.
enum class BackupObstacle : std::uint8_t {
  kNone,  ///< It may continue.
  kNoBackup,
  kUsed,             ///< It has continued, or tried to, before.
  kRunnerMayWork,    ///< Its server is silent, but is not known to have ended.
  kUnsent,           ///< The server most likely never read it, and it may be sent anew.
  kNotBegun,         ///< No event has come: whether its run had begun, and was copied, is unknown.
  kUnknownPosition,  ///< An event without an id was forwarded: nothing tells where to go on.
  kGone,             ///< The backup engine is not registered, or another has its address.
  kLeaving,          ///< The backup engine has said that it leaves.
  kClosed,           ///< The backup engine takes nothing from this node now.
  kNoTime,
};

/// Text for logs; empty for kNone.
std::string_view describe(BackupObstacle obstacle);

/// How the run of a stream at its first server ended.
struct BrokenRun {
  http::HttpErrc error = http::HttpErrc::kReset;
  bool runner_gone = false;  ///< The server is known to have ended.
  bool repeatable = false;   ///< The route still allows the request to be sent anew.
  bool has_time = true;
};

/// Whether a server no longer works on a request whose exchange ended with `error`: the connection
/// was closed or reset. A time-out tells nothing of that.
bool is_connection_break(http::HttpErrc error);

/// The backup of one request. Decides from memory and sends nothing; one loop.
class StreamBackup {
 public:
  /// References outlive it.
  StreamBackup(const FleetState& fleet, const LoadTable& loads) : fleet_(fleet), loads_(loads) {}

  /// Runs of the request are to be replicated; `gate` may be null.
  void enable(std::string request_id, const SendGate* gate);
  /// Names the backup engine of a run that begins at `runner`; none: it is not replicated. A
  /// stream that has used its backup gets no second one: it continues at a backup only once.
  std::optional<Endpoint> begin_run(const Backend& runner, const std::set<BackendId>& tried,
                                    MonotonicTime now);
  void note_event(const StreamEvent& event);
  /// The runner has answered with this head and streams.
  void note_head(const http::ResponseHead& head) { head_ = head; }
  /// Head of the first server, under which a continued stream goes on; none: it had not answered.
  const std::optional<http::ResponseHead>& head() const { return head_; }

  /// Whether the run at `runner` has a copy and its server is known to have ended.
  bool is_runner_gone(const BackendId& runner, MonotonicTime now) const;
  BackupObstacle obstacle(const BrokenRun& run, MonotonicTime now) const;
  /// The engine that holds the copy; null: it has gone, or there is none.
  const Backend* engine() const;
  RunReference source() const { return {runner_address_, request_id_}; }
  bool replicates() const { return !engine_.empty(); }
  /// The stream is about to continue at the backup.
  void note_used() { used_ = true; }

 private:
  BackupObstacle engine_obstacle(MonotonicTime now) const;
  bool is_replaced(const BackendId& id, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  const SendGate* gate_ = nullptr;
  std::string request_id_;  ///< Empty: runs are not replicated.
  BackendId runner_;
  Endpoint runner_address_;
  BackendId engine_;  ///< Empty: the current run is not replicated.
  std::optional<http::ResponseHead> head_;
  bool used_ = false;
  bool begun_ = false;       ///< An event of the run has come.
  bool unnumbered_ = false;  ///< An event without an id was forwarded.
};

}  // namespace ochrespring::gateway
