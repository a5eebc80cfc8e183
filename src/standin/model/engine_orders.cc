#include "standin/model/engine_orders.h"

#include <algorithm>
#include <utility>

namespace ochrespring::standin {

using engine::EngineOrder;
using engine::EnginePhase;
using engine::OrderAction;

bool leaves_service(OrderAction action) {
  switch (action) {
    case OrderAction::kChangeRole:
    case OrderAction::kLoadModel:
    case OrderAction::kLoadAdapter:
      return true;
    case OrderAction::kUnloadAdapter:
    case OrderAction::kRaiseFence:
    case OrderAction::kSetChunk:
      return false;
  }
  return true;
}

EngineOrders::EngineOrders(engine::EngineStatus initial)
    : initial_(std::move(initial)), status_(initial_) {}

OrderVerdict EngineOrders::accept(const EngineOrder& order) {
  if (order.engine != status_.engine) {
    return OrderVerdict::kWrongEngine;
  }
  if (order.fence <= status_.highest_fence) {
    return OrderVerdict::kStaleFence;
  }
  if (status_.current_order && order.action != OrderAction::kRaiseFence) {
    return OrderVerdict::kBusy;
  }
  status_.highest_fence = order.fence;
  if (order.action == OrderAction::kRaiseFence) {
    return OrderVerdict::kAccepted;
  }
  if (!leaves_service(order.action)) {
    apply(order);
    return OrderVerdict::kAccepted;
  }
  status_.current_order = order;
  status_.phase = EnginePhase::kChanging;
  return OrderVerdict::kAccepted;
}

void EngineOrders::complete() {
  if (!status_.current_order) {
    return;
  }
  const EngineOrder order = *status_.current_order;
  status_.current_order.reset();
  status_.phase = EnginePhase::kServing;
  apply(order);
}

void EngineOrders::crash(Incarnation incarnation, bool forget_fence) {
  const engine::OrderFence fence = status_.highest_fence;
  status_ = initial_;
  status_.incarnation = incarnation;
  if (!forget_fence) {
    status_.highest_fence = fence;
  }
}

void EngineOrders::apply(const EngineOrder& order) {
  auto& adapters = status_.adapters;
  switch (order.action) {
    case OrderAction::kChangeRole:
      status_.role = order.role;
      break;
    case OrderAction::kLoadModel:
      status_.model = order.model;
      status_.version = order.version;
      adapters.clear();
      break;
    case OrderAction::kLoadAdapter:
      if (std::find(adapters.begin(), adapters.end(), order.adapter) == adapters.end()) {
        adapters.push_back(order.adapter);
      }
      break;
    case OrderAction::kUnloadAdapter:
      std::erase(adapters, order.adapter);
      break;
    case OrderAction::kSetChunk:
      status_.prefill_chunk_tokens = order.prefill_chunk_tokens;
      break;
    case OrderAction::kRaiseFence:
      break;
  }
  status_.last_completed = order.fence;
}

}  // namespace ochrespring::standin
