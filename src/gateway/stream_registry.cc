#include "gateway/stream_registry.h"

#include "base/hash.h"

namespace ochrespring::gateway {

StreamKey make_stream_key(const TenantName& tenant, std::string_view attempt_id) {
  return {stable_hash(tenant.value()), stable_hash_128({tenant.value(), attempt_id}).low};
}

std::string_view describe(OriginEvidence evidence) {
  switch (evidence) {
    case OriginEvidence::kOwnRecord:
      return "own-record";
    case OriginEvidence::kPeerRecord:
      return "peer-record";
    case OriginEvidence::kSoleSoftware:
      return "sole-software";
    case OriginEvidence::kConflicting:
      return "conflicting-records";
    case OriginEvidence::kSeveralSoftware:
      return "several-software";
    case OriginEvidence::kUnknownHistory:
      return "unknown-history";
    case OriginEvidence::kOutdatedView:
      return "outdated-view";
  }
  return "";
}

}  // namespace ochrespring::gateway
