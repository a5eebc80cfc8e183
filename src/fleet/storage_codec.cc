#include "fleet/storage_codec.h"

#include <cstdint>

#include "base/hash.h"
#include "wire/codec.h"

namespace ochrespring::fleet {

namespace {

constexpr std::string_view kDocumentMagic = "OFLD";
constexpr std::string_view kMutationMagic = "OFLM";
/// Raised whenever the serialized shape of any fleet type changes; older shapes then need a reader.
constexpr std::uint32_t kFormatVersion = 1;

/// What precedes the content; its own shape never changes.
struct Envelope {
  std::uint32_t format_version = kFormatVersion;
  std::uint64_t checksum = 0;
  std::string content;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& format_version& checksum& content;
  }
};

template <class T>
std::string seal(std::string_view magic, const T& value) {
  Envelope envelope;
  envelope.content = wire::encode(value);
  envelope.checksum = stable_hash(envelope.content);
  return std::string(magic) + wire::encode(envelope);
}

template <class T>
Result<T, FleetError> open(std::string_view magic, std::string_view bytes) {
  if (!bytes.starts_with(magic)) {
    return fleet_failure(FleetErrc::kMalformed, "the bytes do not begin as expected");
  }
  auto envelope = wire::decode<Envelope>(bytes.substr(magic.size()));
  if (envelope.has_error()) {
    return fleet_failure(FleetErrc::kMalformed, envelope.error().message);
  }
  if (envelope.value().format_version > kFormatVersion) {
    return fleet_failure(FleetErrc::kUnsupportedFormat,
                         "format " + std::to_string(envelope.value().format_version) +
                             " is newer than " + std::to_string(kFormatVersion));
  }
  if (envelope.value().checksum != stable_hash(envelope.value().content)) {
    return fleet_failure(FleetErrc::kMalformed, "the checksum does not match");
  }
  auto value = wire::decode<T>(envelope.value().content);
  if (value.has_error()) {
    return fleet_failure(FleetErrc::kMalformed, value.error().message);
  }
  return std::move(value).value();
}

}  // namespace

std::string encode_document(const FleetDocument& document) {
  return seal(kDocumentMagic, document);
}

Result<FleetDocument, FleetError> decode_document(std::string_view bytes) {
  return open<FleetDocument>(kDocumentMagic, bytes);
}

std::string encode_mutation(const Mutation& mutation) {
  return seal(kMutationMagic, mutation);
}

Result<Mutation, FleetError> decode_mutation(std::string_view bytes) {
  return open<Mutation>(kMutationMagic, bytes);
}

}  // namespace ochrespring::fleet
