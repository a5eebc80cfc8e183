// The accepted configuration as it lies in the key-value service: a small head that every commit
// replaces by compare-and-swap, and a checkpoint of the whole document in parts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/delta.h"
#include "external/key_value_store.h"

namespace ochrespring::config {

inline constexpr const char* kHeadKey = "config/head";
inline constexpr const char* kCheckpointPrefix = "config/checkpoint/";

/// Where a checkpoint lies. Its parts never change once written.
struct CheckpointReference {
  Revision revision;                           ///< Zero: the empty document, without parts.
  std::string name;                            ///< Part i is at `config/checkpoint/NAME/i`.
  std::vector<external::KeyVersion> versions;  ///< Of the parts, for their deletion.

  bool operator==(const CheckpointReference&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& name& versions;
  }
};

/// Value of kHeadKey. The configuration is accepted once a head with it is in place.
struct StoredHead {
  static constexpr std::uint32_t kFormat = 1;

  std::uint32_t format = kFormat;
  Revision revision;
  std::uint64_t document_hash = 0;  ///< content_hash() of the document at `revision`.
  CheckpointReference checkpoint;
  std::vector<DocumentDelta> deltas;  ///< From the checkpoint to `revision`.

  bool operator==(const StoredHead&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& format;
    if (format == kFormat) {
      archive& revision& document_hash& checkpoint& deltas;
    }
  }
};

std::string encode_head(const StoredHead& head);
/// Errors: kMalformed, kUnsupportedFormat.
Result<StoredHead, ConfigError> decode_head(const std::string& bytes);

/// Key of one part of a checkpoint.
std::string checkpoint_key(const std::string& name, std::size_t part);
/// Name of the checkpoint of a document by one writer; neither two documents nor two writers ever
/// share one, so that a writer may delete its own when another came first.
std::string checkpoint_name(const HashedDocument& document, std::uint64_t writer);

}  // namespace ochrespring::config
