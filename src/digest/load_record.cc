#include "digest/load_record.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "digest/quantize.h"

namespace ochrespring::digest {

namespace {

constexpr std::uint8_t kPresent = 1;
constexpr std::uint8_t kBusy = 2;  // Any of the queue, backlog and running figures is not zero.
constexpr std::uint8_t kSlow = 4;
constexpr std::size_t kIncarnationBytes = 8;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kNibbleBits = 4;

/// Reads bytes one by one; fails for good at the end.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}
  std::uint8_t next() {
    if (bytes_.empty()) {
      failed_ = true;
      return 0;
    }
    const auto byte = static_cast<std::uint8_t>(bytes_.front());
    bytes_.remove_prefix(1);
    return byte;
  }
  bool finished() const { return bytes_.empty() && !failed_; }

 private:
  std::string_view bytes_;
  bool failed_ = false;
};

std::uint8_t kv_share_of(const engine::LoadReport& report) {
  if (report.kv_tokens_capacity == 0) {
    return 0;
  }
  const double share =
      static_cast<double>(report.kv_tokens_used) / static_cast<double>(report.kv_tokens_capacity);
  return static_cast<std::uint8_t>(std::lround(std::clamp(share, 0.0, 1.0) * kByteCodes));
}

void append(std::string& output, std::uint8_t byte) {
  output.push_back(static_cast<char>(byte));
}

void append_nibbles(std::string& output, std::uint8_t high, std::uint8_t low) {
  append(output, static_cast<std::uint8_t>((high << kNibbleBits) | low));
}

void append_slow(std::string& output, const SlowFigures& slow) {
  for (std::size_t i = 0; i < kIncarnationBytes; ++i) {
    append(output, static_cast<std::uint8_t>(slow.incarnation.value() >> (kBitsPerByte * i)));
  }
  append(output, slow.prefill_rate);
  append(output, slow.decode_rate);
  append(output, slow.capacity);
  append(output, slow.chunk);
}

SlowFigures read_slow(ByteReader& reader) {
  std::uint64_t incarnation = 0;
  for (std::size_t i = 0; i < kIncarnationBytes; ++i) {
    incarnation |= static_cast<std::uint64_t>(reader.next()) << (kBitsPerByte * i);
  }
  SlowFigures slow;
  slow.incarnation = Incarnation(incarnation);
  slow.prefill_rate = reader.next();
  slow.decode_rate = reader.next();
  slow.capacity = reader.next();
  slow.chunk = reader.next();
  return slow;
}

std::uint32_t whole(std::uint8_t code, LogScale scale, unsigned highest) {
  return static_cast<std::uint32_t>(std::llround(restore(code, scale, highest)));
}

void append_full(std::string& output, const engine::LoadReport& report) {
  append(output, quantize(report.queued_requests, kRequestScale));
  append(output, quantize(report.queued_prefill_tokens, kTokenScale));
  append(output, quantize(report.running_sequences, kRequestScale));
  append(output, quantize(static_cast<double>(report.context_tokens), kTokenScale));
}

void append_coarse(std::string& output, const engine::LoadReport& report) {
  append_nibbles(output, quantize(report.queued_requests, kRequestScale, kNibbleCodes),
                 quantize(report.queued_prefill_tokens, kTokenScale, kNibbleCodes));
  append_nibbles(output, quantize(report.running_sequences, kRequestScale, kNibbleCodes),
                 quantize(static_cast<double>(report.context_tokens), kTokenScale, kNibbleCodes));
}

void read_full(ByteReader& reader, engine::LoadReport& report) {
  report.queued_requests = whole(reader.next(), kRequestScale, kByteCodes);
  report.queued_prefill_tokens = whole(reader.next(), kTokenScale, kByteCodes);
  report.running_sequences = whole(reader.next(), kRequestScale, kByteCodes);
  report.context_tokens = whole(reader.next(), kTokenScale, kByteCodes);
}

void read_coarse(ByteReader& reader, engine::LoadReport& report) {
  const std::uint8_t queues = reader.next();
  const std::uint8_t work = reader.next();
  report.queued_requests = whole(queues >> kNibbleBits, kRequestScale, kNibbleCodes);
  report.queued_prefill_tokens = whole(queues & kNibbleCodes, kTokenScale, kNibbleCodes);
  report.running_sequences = whole(work >> kNibbleBits, kRequestScale, kNibbleCodes);
  report.context_tokens = whole(work & kNibbleCodes, kTokenScale, kNibbleCodes);
}

bool is_busy(const engine::LoadReport& report) {
  return report.queued_requests + report.queued_prefill_tokens + report.running_sequences +
             report.context_tokens >
         0;
}

constexpr std::uint8_t kCoarseBit = 0x80;
constexpr std::uint16_t kLargestAgeCode = 0x7F;

}  // namespace

std::string LoadRecord::pack() const {
  std::string packed;
  append(packed, static_cast<std::uint8_t>(server));
  append(packed, static_cast<std::uint8_t>(server >> kBitsPerByte));
  append(packed, static_cast<std::uint8_t>(server >> (2 * kBitsPerByte)));
  append(packed, layout);
  append(packed, poller);
  append(packed, round);
  const auto age = std::min<std::uint16_t>(age_milliseconds / kAgeUnit, kLargestAgeCode);
  const std::uint8_t coarse = level == DetailLevel::kCoarse ? kCoarseBit : 0;
  append(packed, static_cast<std::uint8_t>(age | coarse));
  return packed + engines;
}

void LoadRecord::unpack(std::string_view bytes) {
  constexpr std::size_t kHeadBytes = 7;
  if (bytes.size() < kHeadBytes) {
    return;
  }
  ByteReader reader(bytes);
  server = reader.next();
  server |= static_cast<std::uint32_t>(reader.next()) << kBitsPerByte;
  server |= static_cast<std::uint32_t>(reader.next()) << (2 * kBitsPerByte);
  layout = reader.next();
  poller = reader.next();
  round = reader.next();
  const std::uint8_t age = reader.next();
  age_milliseconds = static_cast<std::uint16_t>((age & kLargestAgeCode) * kAgeUnit);
  level = (age & kCoarseBit) != 0 ? DetailLevel::kCoarse : DetailLevel::kFull;
  engines = std::string(bytes.substr(kHeadBytes));
}

SlowFigures slow_figures(const engine::LoadReport& report) {
  SlowFigures slow;
  slow.incarnation = report.incarnation;
  slow.prefill_rate = quantize(report.prefill_tokens_per_second, kRateScale);
  slow.decode_rate = quantize(report.decode_tokens_per_second, kRateScale);
  slow.capacity = quantize(static_cast<double>(report.kv_tokens_capacity), kFleetScale);
  slow.chunk = quantize(report.prefill_chunk_tokens, kTokenScale);
  return slow;
}

std::string pack_engines(const std::vector<PackedEngine>& engines, DetailLevel level) {
  std::string output;
  for (const PackedEngine& engine : engines) {
    const bool busy = engine.present && is_busy(engine.report);
    const bool slow = engine.present && engine.send_slow;
    append(output, static_cast<std::uint8_t>((engine.present ? kPresent : 0) | (busy ? kBusy : 0) |
                                             (slow ? kSlow : 0)));
    if (!engine.present) {
      continue;
    }
    append(output, kv_share_of(engine.report));
    if (busy && level == DetailLevel::kFull) {
      append_full(output, engine.report);
    } else if (busy) {
      append_coarse(output, engine.report);
    }
    if (slow) {
      append_slow(output, slow_figures(engine.report));
    }
  }
  return output;
}

std::vector<UnpackedEngine> unpack_engines(std::string_view bytes, DetailLevel level,
                                           std::size_t count) {
  ByteReader reader(bytes);
  std::vector<UnpackedEngine> engines(count);
  for (UnpackedEngine& engine : engines) {
    const std::uint8_t flags = reader.next();
    engine.present = (flags & kPresent) != 0;
    if (!engine.present) {
      continue;
    }
    engine.kv_share = reader.next();
    if ((flags & kBusy) != 0 && level == DetailLevel::kFull) {
      read_full(reader, engine.report);
    } else if ((flags & kBusy) != 0) {
      read_coarse(reader, engine.report);
    }
    engine.has_slow = (flags & kSlow) != 0;
    if (engine.has_slow) {
      engine.slow = read_slow(reader);
    }
  }
  return reader.finished() ? engines : std::vector<UnpackedEngine>{};
}

void apply_slow(engine::LoadReport& report, const SlowFigures& slow, std::uint8_t kv_share) {
  report.incarnation = slow.incarnation;
  report.prefill_tokens_per_second = static_cast<float>(restore(slow.prefill_rate, kRateScale));
  report.decode_tokens_per_second = static_cast<float>(restore(slow.decode_rate, kRateScale));
  const double capacity = restore(slow.capacity, kFleetScale);
  report.kv_tokens_capacity = static_cast<std::uint64_t>(capacity);
  report.kv_tokens_used = static_cast<std::uint64_t>(capacity * kv_share / kByteCodes);
  report.prefill_chunk_tokens =
      static_cast<std::uint32_t>(std::llround(restore(slow.chunk, kTokenScale)));
}

}  // namespace ochrespring::digest
