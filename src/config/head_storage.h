// The head in the key-value service: read it, replace it, and bring this node up to it.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "config/checkpoint_storage.h"
#include "config/document_store.h"
#include "config/stored_head.h"

namespace ochrespring::config {

/// A head and the version of its key; version zero and an empty head if there is none.
struct VersionedHead {
  external::KeyVersion version;
  StoredHead head;
};

/// Used on the control loop only; callbacks run there.
class HeadStorage {
 public:
  template <class T>
  using Callback = std::function<void(Result<T, ConfigError>)>;

  HeadStorage(external::KeyValueStore& store, CheckpointStorage& checkpoints,
              DocumentStore& documents)
      : store_(store), checkpoints_(checkpoints), documents_(documents) {}

  /// Reads the head.
  void read(Callback<VersionedHead> done);
  /// Replaces the head. Errors: kConflict if another version is in place, kUnknownEffect, those of
  /// the platform.
  void swap(external::KeyVersion expected, const StoredHead& head, Callback<void> done);
  /// Puts the head's document in force here if it is newer than what is; reads the checkpoint only
  /// if the deltas do not connect.
  void follow(const StoredHead& head, Callback<void> done);
  /// Writes the document in force here over an older one in the service. Errors as for swap().
  void write_back(const VersionedHead& older, Callback<void> done);

  /// Whether the service holds less than this node, or another document under the same revision:
  /// it lost what it had accepted.
  bool behind(const StoredHead& head) const;

 private:
  Result<void, ConfigError> adopt_deltas(const StoredHead& head);

  external::KeyValueStore& store_;
  CheckpointStorage& checkpoints_;
  DocumentStore& documents_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

/// Versioned head from an entry of the service. Errors: kMalformed, kUnsupportedFormat.
Result<VersionedHead, ConfigError> open_head(const std::optional<external::KeyValueEntry>& entry);

}  // namespace ochrespring::config
