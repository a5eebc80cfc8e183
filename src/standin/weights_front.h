// HTTP front of the weight store stand-in.
#pragma once

#include <cstdint>
#include <string>

#include "standin/model/weight_store_model.h"
#include "standin/service_front.h"

namespace ochrespring::standin {

struct WeightsFrontSettings {
  Endpoint listen{"127.0.0.1:0"};
  std::uint64_t fault_seed = 1;
  WeightStoreSettings store;
};

/// Serves a WeightStoreModel; docs/PLATFORM.md gives the calls. Used on the loop only.
class WeightsFront {
 public:
  WeightsFront(http::EventLoop& loop, const Clock& clock, const WeightsFrontSettings& settings);

  ServiceFront& front() { return front_; }

 private:
  void handle_fetch(const http::Request& request, const WriterPointer& response);

  WeightStoreModel store_;
  ServiceFront front_;
};

}  // namespace ochrespring::standin
