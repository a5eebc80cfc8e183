#include "wire/compression.h"

#include <zlib.h>

#include <array>

namespace ochrespring::wire {

namespace {
constexpr std::size_t kChunkBytes = 64U << 10U;

Bytef* input_pointer(std::string_view bytes) {
  // zlib takes a non-const pointer but does not write to it.
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
}
}  // namespace

std::string compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string output(size, '\0');
  compress2(reinterpret_cast<Bytef*>(output.data()), &size, input_pointer(bytes), bytes.size(),
            Z_DEFAULT_COMPRESSION);
  output.resize(size);
  return output;
}

Result<std::string, WireError> decompress(std::string_view bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return fail(WireErrc::kMalformed, "cannot initialize decompression");
  }
  stream.next_in = input_pointer(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string output;
  std::array<char, kChunkBytes> chunk{};
  int status = Z_OK;
  while (status == Z_OK && output.size() <= kMaxDecompressedBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    output.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || output.size() > kMaxDecompressedBytes) {
    return fail(WireErrc::kMalformed, "corrupt data, or too large after decompression");
  }
  return output;
}

}  // namespace ochrespring::wire
