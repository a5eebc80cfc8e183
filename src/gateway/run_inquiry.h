// Interface that tells whether an engine still works on a run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// What is known about a run whose connection broke or whose engine is silent.
enum class RunVerdict : std::uint8_t {
  kEnded,     ///< The engine no longer works on it.
  kNotShown,  ///< The engine works on it, or nothing shows that it does not.
};

/// A run at an engine from which this node no longer receives anything.
struct RunQuery {
  BackendId engine;
  Endpoint address;
  std::string id;                   ///< By which the engine knows the run.
  MonotonicTime first_event{};      ///< When its first event arrived: it had begun by then.
  bool engine_registered = true;    ///< The engine is still in the list of back ends.
  Duration patience{};              ///< Longest wait for the verdict, unless a call is on its way.
  std::weak_ptr<const void> asker;  ///< The query is dropped once this has expired.
};

/// Used on one event loop.
class RunInquiry {
 public:
  using Callback = std::function<void(RunVerdict)>;

  virtual ~RunInquiry() = default;
  /// Finds out whether the run has ended. Calls `done` once, possibly from within this call, and
  /// not at all once the asker has expired.
  virtual void ask(RunQuery query, Callback done) = 0;
};

}  // namespace ochrespring::gateway
