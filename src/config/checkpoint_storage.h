// Writes and reads checkpoints, part by part, one call at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "config/stored_head.h"
#include "external/key_value_store.h"

namespace ochrespring::config {

/// Error of the platform as this layer reports it.
ConfigError from_platform(const external::ExternalError& error);

/// Used on the control loop only; callbacks run there, never inside the call.
class CheckpointStorage {
 public:
  template <class T>
  using Callback = std::function<void(Result<T, ConfigError>)>;

  /// `writer` is a random number that tells this process from every other.
  CheckpointStorage(external::KeyValueStore& store, const ConfigSettings& settings,
                    std::uint64_t writer)
      : store_(store), settings_(settings), writer_(writer) {}

  /// Writes a document's parts. Repeating it after a lost answer is harmless: the parts are named
  /// after their content.
  void write(const HashedDocument& document, Callback<CheckpointReference> done);
  /// Reads a checkpoint. Errors: kMissing if it has been replaced meanwhile, and those of the
  /// platform and the codec.
  void read(const CheckpointReference& reference, Callback<fleet::FleetDocument> done);
  /// Deletes a checkpoint no head refers to any more; failures leave garbage, nothing else.
  void erase(const CheckpointReference& reference);

 private:
  struct Writing;
  struct Reading;
  void write_next(const std::shared_ptr<Writing>& writing);
  void read_next(const std::shared_ptr<Reading>& reading);

  external::KeyValueStore& store_;
  const ConfigSettings& settings_;
  std::uint64_t writer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace ochrespring::config
