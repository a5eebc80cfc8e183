// The load of one server's engines as it travels between nodes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "engine/types.h"

namespace ochrespring::digest {

enum class DetailLevel : std::uint8_t {
  kFull,    ///< A byte a figure.
  kCoarse,  ///< Half a byte a figure.
};

/// Upper estimates of encoded sizes, in bytes, for the budget.
inline constexpr std::size_t kRecordBytes = 9;
inline constexpr double kFullEngineBytes = 7.8;
inline constexpr double kCoarseEngineBytes = 4.2;

/// One reading of one server.
struct LoadRecord {
  std::uint32_t server = 0;            ///< Hash of the server's name, 24 bits.
  std::uint8_t layout = 0;             ///< Hash of its engines' names; another is not understood.
  std::uint8_t poller = 0;             ///< Hash of the node that read it.
  std::uint8_t round = 0;              ///< Of the poller; wraps.
  std::uint16_t age_milliseconds = 0;  ///< Of the figures, when the record was sent.
  DetailLevel level = DetailLevel::kFull;
  std::string engines;  ///< Packed figures in the order of the document.

  bool operator==(const LoadRecord&) const = default;
  /// Packed into one string; the age is kept in units of kAgeUnit.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    std::string packed;
    if constexpr (Archive::is_saving::value) {
      packed = pack();
    }
    archive& packed;
    if constexpr (Archive::is_loading::value) {
      unpack(packed);
    }
  }

 private:
  std::string pack() const;
  /// Malformed bytes give a record of no known server.
  void unpack(std::string_view bytes);
};

/// Unit of a record's age on the wire, in milliseconds.
inline constexpr std::uint16_t kAgeUnit = 32;

/// Figures that change seldom; sent when they change and now and then.
struct SlowFigures {
  Incarnation incarnation;
  std::uint8_t prefill_rate = 0;
  std::uint8_t decode_rate = 0;
  std::uint8_t capacity = 0;
  std::uint8_t chunk = 0;

  bool operator==(const SlowFigures&) const = default;
};

/// Slow figures of a report as codes.
SlowFigures slow_figures(const engine::LoadReport& report);

/// One engine to pack; without `send_slow` the receiver keeps the slow figures it has.
struct PackedEngine {
  engine::LoadReport report;
  bool present = true;  ///< False: the server did not report this engine.
  bool send_slow = true;
};

/// Packs the engines of one server.
std::string pack_engines(const std::vector<PackedEngine>& engines, DetailLevel level);

/// One engine as unpacked.
struct UnpackedEngine {
  bool present = false;
  bool has_slow = false;
  SlowFigures slow;
  engine::LoadReport report;  ///< Without the slow figures and the name.
  std::uint8_t kv_share = 0;  ///< Of the capacity, in 255ths.
};

/// Unpacks; empty if the bytes are malformed or not exactly `count` engines.
std::vector<UnpackedEngine> unpack_engines(std::string_view bytes, DetailLevel level,
                                           std::size_t count);

/// Puts slow figures into a report, and what depends on them.
void apply_slow(engine::LoadReport& report, const SlowFigures& slow, std::uint8_t kv_share);

}  // namespace ochrespring::digest
