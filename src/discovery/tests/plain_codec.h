// Documents of the store in a form of the tests' own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/fleet_codec.h"
#include "gateway/backend_incarnation.h"

namespace ochrespring::discovery::testing {

/// Values are a number (configuration) or `ready`/`draining`, with `@BORN` behind it where lives
/// are told apart (back ends); `broken` is neither.
class PlainCodec final : public FleetCodec {
 public:
  const StoreLayout& layout() const override { return layout_; }
  Result<gateway::Configuration, CodecError> read_configuration(
      std::string_view value) const override {
    if (value == "broken") {
      return fail(CodecErrc::kMalformed, "broken");
    }
    gateway::Configuration configuration;
    configuration.version = gateway::ConfigurationVersion(std::stoul(std::string(value)));
    return configuration;
  }
  Result<gateway::Backend, CodecError> read_backend(std::string_view id,
                                                    std::string_view value) const override {
    if (value == "broken") {
      return fail(CodecErrc::kMalformed, "broken");
    }
    const std::size_t mark = value.find('@');
    std::optional<std::uint64_t> born;
    if (mark != std::string_view::npos) {
      born = std::stoull(std::string(value.substr(mark + 1)));
    }
    gateway::Backend backend;
    backend.id = gateway::make_backend_id(id, born);
    backend.draining = value.substr(0, mark) == "draining";
    return backend;
  }

 private:
  StoreLayout layout_{"config", "backends/", "nodes/"};
};

}  // namespace ochrespring::discovery::testing
