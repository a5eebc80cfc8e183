#include "digest/quantize.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::digest {

std::uint8_t quantize(double figure, LogScale scale, unsigned highest_code) {
  if (!(figure > 0)) {
    return 0;
  }
  const double share = std::log1p(std::min(figure, scale.largest)) / std::log1p(scale.largest);
  return static_cast<std::uint8_t>(std::lround(share * highest_code));
}

double restore(std::uint8_t code, LogScale scale, unsigned highest_code) {
  const double share = static_cast<double>(code) / highest_code;
  return std::expm1(share * std::log1p(scale.largest));
}

}  // namespace ochrespring::digest
