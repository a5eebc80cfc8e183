// At-most-once claims for requests that may not be repeated.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::ledger {

/// Names one non-repeatable request over the whole fleet.
struct ClaimKey {
  TenantName tenant;
  ServiceName service;
  std::string idempotency_key;

  auto operator<=>(const ClaimKey&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& tenant& service& idempotency_key;
  }
};

enum class RecordedState : std::uint8_t {
  kRunning,   ///< Claimed; its outcome is not known yet.
  kAnswered,  ///< `status` and `body` were returned by the back end.
  kUnknown,   ///< Sent, and the answer never came.
};

/// What became of a claimed request.
struct RecordedOutcome {
  RecordedState state = RecordedState::kRunning;
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;  ///< Bounded; an outcome too large to keep is recorded without its body.
  bool body_kept = true;

  bool operator==(const RecordedOutcome&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& state& status& content_type& body& body_kept;
  }
};

enum class ClaimVerdict : std::uint8_t {
  kGranted,      ///< This caller alone may run it.
  kRepeated,     ///< Claimed before; `outcome` says what became of it.
  kKeyReused,    ///< The key was claimed with another request body.
  kUnavailable,  ///< No majority could be had: nothing ran, nothing may run.
};

struct ClaimResult {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  RecordedOutcome outcome;    ///< For kRepeated.
  MonotonicTime valid_until;  ///< For kGranted: nothing may be dispatched at or after this.
};

/// Claims over a majority of a key's replicas; used on the control loop only. Callbacks run once,
/// on the same loop, never inside the call.
class AttemptLedger {
 public:
  virtual ~AttemptLedger() = default;
  /// Claims the key for a request whose body hashes to `body_hash`. Must be granted before any byte
  /// is sent to a back end.
  virtual void claim(const ClaimKey& key, std::uint64_t body_hash,
                     std::function<void(ClaimResult)> done) = 0;
  /// Records the outcome of a granted claim. `done(true)` once a majority holds it.
  virtual void record(const ClaimKey& key, RecordedOutcome outcome,
                      std::function<void(bool)> done) = 0;
  /// Gives up a granted claim because the request certainly did not run.
  virtual void release(const ClaimKey& key) = 0;
};

}  // namespace ochrespring::ledger
