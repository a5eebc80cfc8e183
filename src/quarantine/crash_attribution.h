// Attributes terminations of back ends to the prompt parts that explain them.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::quarantine {

/// A prompt part with the terminations of back ends that count against it.
struct PartSuspect {
  gateway::RequestFingerprint part;
  std::map<gateway::BackendId, MonotonicTime> terminations{};
  /// Whether a request with the part was answered in the last minutes. Parts that were not are
  /// suspected first.
  bool answered_lately = false;
};

/// Back ends that terminated during one quarantined request.
using RequestTerminations = std::set<gateway::BackendId>;

struct AttributionOptions {
  std::size_t min_terminations = 3;  ///< Unexplained terminations that make a part their cause.
  /// Time from the first to the last of them that makes a part their cause although it was answered
  /// lately. Longer than nodes differ in when they find that back ends terminated at once.
  Duration min_span{std::chrono::milliseconds(100)};
};

/// Returns the parts that may have caused terminations.
///
/// A termination counts against every part of every request that was running there, and popular
/// parts are part of nearly every batch. A part that was not answered lately is returned if it has
/// at least `min_terminations`. These parts explain their terminations, and one that was answered
/// lately is returned only if it has as many others. Parts of one kind do not explain each other:
/// which of their terminations still count depends on chance.
///
/// A quarantined request explains the terminations of a part only if all happened during that one
/// request: if several requests with the same part crash back ends and none is answered, the part
/// is the simpler cause.
///
/// The result does not depend on the order of the arguments. Pure function.
std::set<gateway::RequestFingerprint> attribute_terminations(
    const std::vector<PartSuspect>& suspects,
    const std::vector<RequestTerminations>& quarantined_requests,
    const AttributionOptions& options = {});

}  // namespace ochrespring::quarantine
