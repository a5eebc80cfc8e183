// Token buckets that hold tenants to their request rates. Pure.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/types.h"

namespace ochrespring::proxy {

/// Rate limits of all tenants at one proxy loop. A tenant's bucket holds one second's worth.
class TenantRateLimiter {
 public:
  /// Number of proxy loops of the fleet a tenant's requests are spread over; each grants its share.
  void set_share(double share) { share_ = share; }
  /// Takes one request of the tenant; false if it is over its rate.
  bool admit(const fleet::Tenant& tenant, MonotonicTime now);
  /// Forgets buckets that are full again.
  void forget_idle(MonotonicTime now);
  std::size_t size() const { return buckets_.size(); }

 private:
  struct Bucket {
    double tokens = 0;
    double rate = 0;
    MonotonicTime updated;
  };

  static void refill(Bucket& bucket, MonotonicTime now);

  double share_ = 1;
  std::unordered_map<TenantName, Bucket> buckets_;
};

}  // namespace ochrespring::proxy
