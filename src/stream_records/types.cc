#include "stream_records/types.h"

#include <algorithm>

namespace ochrespring::stream_records {

bool StoredHistory::covers(const ServiceName& service, gateway::SoftwareId software) const {
  const auto entry = std::find_if(services.begin(), services.end(),
                                  [&](const auto& item) { return item.service == service; });
  if (entry == services.end()) {
    return false;
  }
  const auto& known = entry->software;
  return known.size() >= StoredServiceHistory::kMaxSoftware ||
         std::find(known.begin(), known.end(), software) != known.end();
}

}  // namespace ochrespring::stream_records
