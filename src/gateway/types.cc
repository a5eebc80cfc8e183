#include "gateway/types.h"

#include <algorithm>

namespace ochrespring::gateway {

const Service* Configuration::find_service(const ServiceName& name) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

}  // namespace ochrespring::gateway
