#include "wire/archive.h"

namespace ochrespring::wire {

namespace {
constexpr unsigned kPayloadBitsPerByte = 7;
constexpr unsigned kMaxShift = 63;
constexpr std::uint64_t kContinuation = 0x80;
}  // namespace

void OutputArchive::save_varint(std::uint64_t value) {
  while (value >= kContinuation) {
    output_.push_back(static_cast<char>((value & (kContinuation - 1)) | kContinuation));
    value >>= kPayloadBitsPerByte;
  }
  output_.push_back(static_cast<char>(value));
}

void OutputArchive::save_bytes(std::string_view bytes) {
  output_.append(bytes);
}

std::uint64_t InputArchive::load_varint() {
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift <= kMaxShift; shift += kPayloadBitsPerByte) {
    const auto byte = static_cast<unsigned char>(load_bytes(1).front());
    value |= (byte & (kContinuation - 1)) << shift;
    if ((byte & kContinuation) == 0) {
      return value;
    }
  }
  throw DecodeFailure{};
}

std::string_view InputArchive::load_bytes(std::size_t count) {
  if (count > input_.size()) {
    throw DecodeFailure{true};
  }
  const std::string_view bytes = input_.substr(0, count);
  input_.remove_prefix(count);
  return bytes;
}

std::size_t InputArchive::load_count() {
  const std::uint64_t count = load_varint();
  if (count > input_.size()) {
    throw DecodeFailure{true};
  }
  return static_cast<std::size_t>(count);
}

}  // namespace ochrespring::wire
