// Parses the store entries that make up a view.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "discovery/fleet_codec.h"
#include "discovery/node_record.h"
#include "gateway/types.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

/// Entries may be written by anybody. An entry that cannot be parsed is counted and logged by its
/// key, never by its content, which may include callers' API keys; all other entries are still
/// read. Used on one event loop.
class EntryReader {
 public:
  EntryReader(const FleetCodec& codec, logging::Logger& logger) : codec_(codec), logger_(logger) {}

  /// The entry must have a value. Returns nullopt if it cannot be parsed.
  std::optional<gateway::Backend> read_backend(const shared_store::Change& entry);
  std::optional<NodeRecord> read_node(const shared_store::Change& entry);
  std::optional<gateway::Configuration> read_configuration(const std::string& value);
  /// Returns the number of entries that could not be parsed, counted on each read.
  std::uint64_t rejected() const { return rejected_; }

 private:
  void reject(const std::string& key, const std::string& reason);

  const FleetCodec& codec_;
  logging::Logger& logger_;
  std::uint64_t rejected_ = 0;
};

}  // namespace ochrespring::discovery
