// Which routes of a new configuration take over paths of those before.
#pragma once

#include <vector>

#include "gateway/route_table.h"

namespace ochrespring::stream_records {

/// A resumable route and the one that callers reach now when they take up its streams, which may be
/// the same. Neither is null.
struct RouteSuccession {
  const gateway::Route* former;
  const gateway::Route* current;
};

/// Pairs the resumable routes of two configurations by the paths that they serve: a route that is
/// added or removed takes paths over from, or leaves them to, one with a shorter prefix. A route
/// may be in several pairs. The tables must outlive the result.
std::vector<RouteSuccession> find_successions(const gateway::RouteTable& former,
                                              const gateway::RouteTable& current);

}  // namespace ochrespring::stream_records
