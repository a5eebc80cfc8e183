#include "stream_records/route_succession.h"

#include <map>
#include <string_view>
#include <utility>

namespace ochrespring::stream_records {

std::vector<RouteSuccession> find_successions(const gateway::RouteTable& former,
                                              const gateway::RouteTable& current) {
  std::map<std::pair<std::string_view, std::string_view>, const gateway::Route*> removed;
  for (const gateway::Route& route : former.configuration().routes) {
    removed[{route.host, route.path_prefix}] = &route;
  }
  std::vector<RouteSuccession> successions;
  const auto add = [&](const gateway::Route* before, const gateway::Route* after) {
    if (before != nullptr && after != nullptr && before->resumable && after->resumable) {
      successions.push_back({before, after});
    }
  };
  for (const gateway::Route& route : current.configuration().routes) {
    const auto kept = removed.extract({route.host, route.path_prefix});
    add(kept ? kept.mapped() : former.find(route.host, route.path_prefix), &route);
  }
  for (const auto& [key, route] : removed) {
    add(route, current.find(route->host, route->path_prefix));
  }
  return successions;
}

}  // namespace ochrespring::stream_records
