// Figures as one byte or half a byte on a logarithmic scale: small numbers exactly, large ones
// within a few per cent (byte) or a fifth (half byte).
#pragma once

#include <cstdint>

namespace ochrespring::digest {

/// Scale of one kind of figure.
struct LogScale {
  double largest = 1;  ///< Larger figures are taken for this one.
};

inline constexpr LogScale kRequestScale{4096};
inline constexpr LogScale kTokenScale{8.0 * 1024 * 1024};
inline constexpr LogScale kRateScale{1.0e6};
inline constexpr LogScale kFleetScale{1.0e9};  ///< Sums over a zone.

/// Highest codes.
inline constexpr unsigned kByteCodes = 255;
inline constexpr unsigned kNibbleCodes = 15;

/// Code of a figure in [0, highest_code]; zero only for zero (or less than half a step).
std::uint8_t quantize(double figure, LogScale scale, unsigned highest_code = kByteCodes);
/// Figure of a code.
double restore(std::uint8_t code, LogScale scale, unsigned highest_code = kByteCodes);

}  // namespace ochrespring::digest
