// Faults a stand-in can be told to show while it runs, and the seeded draws that decide which calls
// they hit. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

namespace ochrespring::standin {

/// What is wrong with the stand-in now. Probabilities are in [0, 1] and drawn once a call.
struct FaultSettings {
  bool down = false;            ///< Calls are cut without effect and without an answer.
  Duration slow{};              ///< Delay before a call is handled.
  double slow_probability = 1;  ///< Of a call being delayed by `slow`.
  double lost_answer = 0;       ///< The call takes effect; its connection is cut before the answer.
  double crossed_answer = 0;    ///< Two calls get each other's answers.
  double truncated_answer = 0;  ///< The answer ends early, in a way that looks like its end.
  double cut_answer = 0;        ///< The answer's connection is cut in the middle.
  double doubled_chunk = 0;     ///< One piece of the answer is sent twice.
  double lost_watch_event = 0;  ///< A change is not told to a watch.
  double crash_in_order = 0;    ///< An engine crashes half way through an order.
  bool crash_exits = false;     ///< A crash ends the process instead of restarting the engine.
  bool forget_fence = false;    ///< A crashed engine forgets the fences it has seen.
  Duration lag{};               ///< Added to the lag of machine lists, load reports, cache events.
  std::string path_prefix;      ///< Only calls whose path begins so are hit; empty: all.
};

enum class FaultErrc { kUnknownField, kWrongType, kOutOfRange };
using FaultError = LayerError<FaultErrc>;

nlohmann::json json_of(const FaultSettings& settings);
/// `current` with the fields of `change` replaced; an error names the field.
Result<FaultSettings, FaultError> merge_faults(const FaultSettings& current,
                                               const nlohmann::json& change);

/// What to do to one call.
struct CallFaults {
  bool cut_before_effect = false;
  Duration delay{};
  bool lose_answer = false;
  bool cross_answer = false;
  bool truncate_answer = false;
  bool cut_answer = false;
  bool double_chunk = false;
};

/// Draws the faults of each call from a seeded source. Single-threaded.
class FaultInjector {
 public:
  explicit FaultInjector(std::uint64_t seed) : random_(seed) {}

  const FaultSettings& settings() const { return settings_; }
  void set(const FaultSettings& settings) { settings_ = settings; }

  /// Faults of one call to `path`.
  CallFaults draw(std::string_view path);
  bool draw_lost_watch_event();
  bool draw_crash_in_order();
  /// How often each fault has been injected, by the name of its setting.
  const std::map<std::string, std::uint64_t>& injected() const { return injected_; }

 private:
  bool chance(double probability, const char* name);

  SeededRandom random_;
  FaultSettings settings_;
  std::map<std::string, std::uint64_t> injected_;
};

}  // namespace ochrespring::standin
