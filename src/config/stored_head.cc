#include "config/stored_head.h"

#include "base/hash.h"
#include "wire/codec.h"

namespace ochrespring::config {

std::string encode_head(const StoredHead& head) {
  return wire::encode(head);
}

Result<StoredHead, ConfigError> decode_head(const std::string& bytes) {
  auto head = wire::decode<StoredHead>(bytes);
  // A newer format may have more fields, which look like trailing bytes here.
  const bool newer = !bytes.empty() && static_cast<unsigned char>(bytes.front()) !=
                                           static_cast<unsigned char>(StoredHead::kFormat);
  if (newer) {
    return fail(ConfigErrc::kUnsupportedFormat, "the head was written by another program version");
  }
  if (head.has_error()) {
    return fail(ConfigErrc::kMalformed, head.error().message);
  }
  return std::move(head).value();
}

std::string checkpoint_key(const std::string& name, std::size_t part) {
  return kCheckpointPrefix + name + "/" + std::to_string(part);
}

std::string checkpoint_name(const HashedDocument& document, std::uint64_t writer) {
  const auto& mutations = document.document.recent_mutations;
  const std::string id = mutations.empty() ? "" : mutations.back().id.value();
  const std::uint64_t hash = combine_hashes(document.hash, stable_hash(id, writer));
  return std::to_string(document.document.revision.value()) + "-" + std::to_string(hash);
}

}  // namespace ochrespring::config
