#include "gateway/stream_registry.h"

#include "base/hash.h"

namespace ochrespring::gateway {

StreamKey make_stream_key(const TenantName& tenant, std::string_view attempt_id) {
  return {stable_hash(tenant.value()), stable_hash_128({tenant.value(), attempt_id}).low};
}

}  // namespace ochrespring::gateway
