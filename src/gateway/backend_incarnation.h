// Ids that distinguish the incarnations of a back end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/types.h"

namespace ochrespring::gateway {

/// Makes the id of one incarnation. A back end may restart under the same name, without any state
/// of its earlier incarnation. Incarnations are distinguished by their start time `start_time_ms`
/// in Unix milliseconds, if the platform provides it. The time identifies an incarnation but does
/// not order it, since the clock of a machine may go back. All state that a node keeps about a back
/// end is keyed by this id and discarded with it.
inline BackendId make_backend_id(std::string_view name,
                                 std::optional<std::uint64_t> start_time_ms) {
  std::string id(name);
  if (start_time_ms) {
    id += '@' + std::to_string(*start_time_ms);
  } else if (name.find('@') != std::string_view::npos) {
    // The name ends at the last '@'.
    id += '@';
  }
  return BackendId(std::move(id));
}

/// Whether the id contains a start time, so that another incarnation at the same address can be
/// told apart; also true for an id without one whose name contains an '@'.
inline bool has_incarnation(const BackendId& id) {
  return id.value().find('@') != std::string::npos;
}

/// The name that the back end itself uses.
inline std::string_view backend_name(const BackendId& id) {
  return std::string_view(id.value()).substr(0, id.value().rfind('@'));
}

}  // namespace ochrespring::gateway
