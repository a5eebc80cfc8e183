// Queue of requests that wait at a proxy, shared between tenants by weight. Pure; used on one loop.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "base/ids.h"

namespace ochrespring::router {

/// A waiting request.
struct QueueEntry {
  std::uint64_t handle = 0;  ///< Chosen by the caller; unique while queued.
  TenantName tenant;
  double cost = 1;  ///< Engine time it is expected to take, in any one unit.
};

/// Bounds of one queue.
struct TenantQueueLimits {
  std::uint32_t total = 1024;      ///< Requests of all tenants.
  std::uint32_t per_tenant = 256;  ///< Requests of one tenant.
};

/// Decides whose request goes next. Requests of one tenant keep their order.
class TenantQueue {
 public:
  virtual ~TenantQueue() = default;
  /// Sets a tenant's share; tenants never set have weight 1. Zero counts as 1.
  virtual void set_weight(const TenantName& tenant, std::uint32_t weight) = 0;
  /// Adds a request; false when a bound is reached, and then nothing changes.
  virtual bool push(const QueueEntry& entry) = 0;
  /// The request that goes next; empty when none waits. Stays valid until the queue changes.
  virtual const QueueEntry* front() = 0;
  /// Removes front() and charges its tenant: it was served.
  virtual void pop() = 0;
  /// Removes a request without charge: it was refused, cancelled or its deadline passed. False if
  /// it does not wait here.
  virtual bool remove(std::uint64_t handle) = 0;
  /// Requests waiting.
  virtual std::size_t size() const = 0;
  /// Requests of one tenant waiting.
  virtual std::size_t size_of(const TenantName& tenant) const = 0;
};

enum class TenantQueueKind : std::uint8_t {
  kFifo,               ///< In order of arrival, whoever sends.
  kDeficitRoundRobin,  ///< Shreedhar and Varghese, 1995.
  kStride,             ///< Waldspurger and Weihl, MIT/LCS/TM-528, 1995.
};

/// Creates an empty queue.
std::unique_ptr<TenantQueue> make_tenant_queue(TenantQueueKind kind,
                                               const TenantQueueLimits& limits);

}  // namespace ochrespring::router
