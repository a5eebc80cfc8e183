// Reads the entries of the store that make up a view.
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

/// Anybody may have written an entry. One that cannot be understood is logged by its key, never by
/// its content, which may hold callers' keys, and counted; the others are read all the same. One
/// loop.
class EntryReader {
 public:
  EntryReader(const FleetCodec& codec, logging::Logger& logger) : codec_(codec), logger_(logger) {}

  /// Of entries with a value; none: not understood.
  std::optional<gateway::Backend> read_backend(const shared_store::Change& entry);
  std::optional<NodeRecord> read_node(const shared_store::Change& entry);
  std::optional<gateway::Configuration> read_configuration(const std::string& value);
  /// Entries that were not understood, each time they were read.
  std::uint64_t rejected() const { return rejected_; }

 private:
  void reject(const std::string& key, const std::string& reason);

  const FleetCodec& codec_;
  logging::Logger& logger_;
  std::uint64_t rejected_ = 0;
};

}  // namespace ochrespring::discovery
