#include "gateway/software_id.h"

#include "base/hash.h"

namespace ochrespring::gateway {

SoftwareId software_of(const Backend& backend) {
  const bool known = !backend.version.value().empty();
  const Hash128 hash =
      known ? stable_hash_128({"version", backend.service.value(), backend.version.value()})
            : stable_hash_128({"back end", backend.id.value()});
  return SoftwareId(hash.low);
}

bool run_same_software(const Backend& first, const Backend& second) {
  return first.service == second.service && first.version == second.version &&
         (!first.version.value().empty() || first.id == second.id);
}

}  // namespace ochrespring::gateway
