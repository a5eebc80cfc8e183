#include "engine_model/cost_model.h"

namespace ochrespring::engine_model {

double CostModel::step_seconds(const StepLoad& load) const {
  if (load.prefill_tokens == 0 && load.decode_sequences == 0) {
    return 0;
  }
  const double prefill =
      prefill_token * load.prefill_tokens + prefill_token_context * load.prefill_token_contexts;
  const double decode = decode_sequence * load.decode_sequences +
                        context_token * static_cast<double>(load.context_tokens);
  return step_base + prefill + decode;
}

double TransferModel::transfer_seconds(std::uint64_t bytes, Distance distance) const {
  double rate = same_server_bytes_per_second;
  switch (distance) {
    case Distance::kSameServer:
      break;
    case Distance::kSameZone:
      rate = same_zone_bytes_per_second;
      break;
    case Distance::kOtherZone:
      rate = other_zone_bytes_per_second;
      break;
    case Distance::kOtherRegion:
      rate = other_region_bytes_per_second;
      break;
  }
  return setup_seconds + static_cast<double>(bytes) / rate;
}

}  // namespace ochrespring::engine_model
