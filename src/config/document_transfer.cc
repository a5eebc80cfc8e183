#include "config/document_transfer.h"

#include <utility>

#include "fleet/storage_codec.h"
#include "wire/compression.h"

namespace ochrespring::config {

namespace {
constexpr Duration kKeepCompressed = std::chrono::seconds(30);
}  // namespace

DocumentOffer DocumentServer::offer(MonotonicTime now) {
  refresh(now);
  const std::size_t size = settings_.transfer_part_bytes;
  return {revision_, static_cast<std::uint32_t>((bytes_.size() + size - 1) / size)};
}

void DocumentServer::refresh(MonotonicTime now) {
  last_used_ = now;
  if (revision_ == documents_.revision() && !bytes_.empty()) {
    return;
  }
  revision_ = documents_.revision();
  bytes_ = wire::compress(fleet::encode_document(*documents_.document()));
}

std::optional<Part> DocumentServer::part(const PartRequest& request, MonotonicTime now) {
  const std::size_t size = settings_.transfer_part_bytes;
  const std::size_t begin = request.part * size;
  if (request.revision != revision_ || begin >= bytes_.size()) {
    return std::nullopt;
  }
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    served_in_window_ = 0;
  }
  if (served_in_window_ >= settings_.transfer_parts_per_second) {
    return std::nullopt;
  }
  ++served_in_window_;
  last_used_ = now;
  return Part{revision_, request.part, bytes_.substr(begin, size)};
}

void DocumentServer::release(MonotonicTime now) {
  if (now - last_used_ > kKeepCompressed) {
    bytes_ = std::string();
  }
}

void DocumentDownload::take(const Part& part, MonotonicTime now) {
  if (part.revision != offer_.revision || part.part != parts_ || complete()) {
    return;
  }
  bytes_ += part.bytes;
  ++parts_;
  last_progress_ = now;
}

Result<fleet::FleetDocument, ConfigError> DocumentDownload::open() const {
  return open_document(bytes_);
}

Result<fleet::FleetDocument, ConfigError> open_document(const std::string& compressed) {
  const auto bytes = wire::decompress(compressed);
  if (!bytes) {
    return fail(ConfigErrc::kMalformed, bytes.error().message);
  }
  auto document = fleet::decode_document(bytes.value());
  if (document.has_error()) {
    const bool newer = document.error().code == fleet::FleetErrc::kUnsupportedFormat;
    return fail(newer ? ConfigErrc::kUnsupportedFormat : ConfigErrc::kMalformed,
                document.error().message);
  }
  return std::move(document).value();
}

}  // namespace ochrespring::config
