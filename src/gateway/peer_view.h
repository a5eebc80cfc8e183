// Workload of other nodes at a back end.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Requests at an engine, and the prompt tokens that it has yet to prefill for them.
struct EngineWorkload {
  std::uint32_t requests = 0;
  std::uint64_t pending_prefill_tokens = 0;

  EngineWorkload& operator+=(const EngineWorkload& other) {
    requests += other.requests;
    pending_prefill_tokens += other.pending_prefill_tokens;
    return *this;
  }
};

/// Provides the workload that other nodes report.
class PeerView {
 public:
  virtual ~PeerView() = default;
  virtual EngineWorkload work_at(const BackendId& backend, MonotonicTime now) const = 0;
};

}  // namespace ochrespring::gateway
