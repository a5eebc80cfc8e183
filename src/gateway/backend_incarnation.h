// One life of a back end, told apart from other lives of the same name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/types.h"

namespace ochrespring::gateway {

/// A back end may start again under its name and knows nothing of before then. Lives are told apart
/// by when each began, in Unix milliseconds, where the platform says so: that says which life it
/// is, not which is the newer one, since the clock of a machine may go back. Everything that a node
/// knows of a back end hangs on the id of its life and is forgotten with it.
inline BackendId make_backend_id(std::string_view name, std::optional<std::uint64_t> born) {
  std::string id(name);
  if (born) {
    id += '@' + std::to_string(*born);
  } else if (name.find('@') != std::string_view::npos) {
    // The last mark ends the name.
    id += '@';
  }
  return BackendId(std::move(id));
}

/// Whether lives under its name are told apart: another may answer where this one did.
inline bool has_incarnation(const BackendId& id) {
  return id.value().find('@') != std::string::npos;
}

/// What the back end itself goes by.
inline std::string_view backend_name(const BackendId& id) {
  return std::string_view(id.value()).substr(0, id.value().rfind('@'));
}

}  // namespace ochrespring::gateway
