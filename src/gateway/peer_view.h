// What other nodes are known to do at a back end.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Requests at an engine, and prompt tokens it has still to read for them.
struct EngineWorkload {
  std::uint32_t requests = 0;
  std::uint64_t unread_tokens = 0;

  EngineWorkload& operator+=(const EngineWorkload& other) {
    requests += other.requests;
    unread_tokens += other.unread_tokens;
    return *this;
  }
};

class PeerView {
 public:
  virtual ~PeerView() = default;
  virtual EngineWorkload work_at(const BackendId& backend, MonotonicTime now) const = 0;
};

}  // namespace ochrespring::gateway
