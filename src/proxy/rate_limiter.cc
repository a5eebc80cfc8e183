#include "proxy/rate_limiter.h"

#include <algorithm>

namespace ochrespring::proxy {

namespace {

double capacity_of(double rate) {
  return std::max(1.0, rate);
}

}  // namespace

void TenantRateLimiter::refill(Bucket& bucket, MonotonicTime now) {
  const double gained = to_seconds(now - bucket.updated) * bucket.rate;
  bucket.tokens = std::min(capacity_of(bucket.rate), bucket.tokens + gained);
  bucket.updated = now;
}

bool TenantRateLimiter::admit(const fleet::Tenant& tenant, MonotonicTime now) {
  if (tenant.requests_per_second == 0) {
    return true;
  }
  const double rate = tenant.requests_per_second * share_;
  const auto [entry, added] =
      buckets_.try_emplace(tenant.name, Bucket{capacity_of(rate), rate, now});
  Bucket& bucket = entry->second;
  refill(bucket, now);
  bucket.rate = rate;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void TenantRateLimiter::forget_idle(MonotonicTime now) {
  for (auto entry = buckets_.begin(); entry != buckets_.end();) {
    refill(entry->second, now);
    const bool full = entry->second.tokens >= capacity_of(entry->second.rate);
    entry = full ? buckets_.erase(entry) : std::next(entry);
  }
}

}  // namespace ochrespring::proxy
