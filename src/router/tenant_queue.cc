#include "router/tenant_queue.h"

#include "router/deficit_round_robin_queue.h"
#include "router/fifo_queue.h"
#include "router/stride_queue.h"

namespace ochrespring::router {

std::unique_ptr<TenantQueue> make_tenant_queue(TenantQueueKind kind,
                                               const TenantQueueLimits& limits) {
  switch (kind) {
    case TenantQueueKind::kFifo:
      return std::make_unique<FifoQueue>(limits);
    case TenantQueueKind::kDeficitRoundRobin:
      return std::make_unique<DeficitRoundRobinQueue>(limits);
    case TenantQueueKind::kStride:
      break;
  }
  return std::make_unique<StrideQueue>(limits);
}

}  // namespace ochrespring::router
