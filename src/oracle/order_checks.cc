#include "oracle/order_checks.h"

#include <tuple>

namespace ochrespring::oracle {
namespace {

std::string describe(const OrderTaken& order) {
  return "(" + std::to_string(order.epoch.value()) + "," + std::to_string(order.sequence) + ") " +
         order.content + " from " + order.sender.value();
}

auto fence_of(const OrderTaken& order) {
  return std::make_tuple(order.epoch, order.sequence);
}

}  // namespace

void OrderChecks::on(const OrderTaken& order) {
  EngineState& engine = engines_[order.engine];
  check_conflict(engine, order);
  check_authority(engine, order);
  epoch_began_[order.domain].emplace(order.epoch, order.sent);
  if (order.changes) {
    engine.current = order;
  }
  if (!engine.latest || fence_of(*engine.latest) < fence_of(order)) {
    engine.latest = order;
  }
}

void OrderChecks::check_conflict(const EngineState& engine, const OrderTaken& order) {
  reporter_.checked(Promise::kNoConflictingOrders);
  if (order.changes && engine.current) {
    reporter_.violated(Promise::kNoConflictingOrders,
                       order.engine.value() + " took " + describe(order) +
                           " while it carried out " + describe(*engine.current));
  }
  if (engine.latest && fence_of(*engine.latest) == fence_of(order) &&
      engine.latest->content != order.content) {
    reporter_.violated(Promise::kNoConflictingOrders,
                       order.engine.value() + " took two orders under one fence: " +
                           describe(*engine.latest) + " and " + describe(order));
  }
}

void OrderChecks::check_authority(const EngineState& engine, const OrderTaken& order) {
  reporter_.checked(Promise::kStaleOrdersHaveNoEffect);
  if (engine.latest && order.epoch < engine.latest->epoch) {
    reporter_.violated(
        Promise::kStaleOrdersHaveNoEffect,
        order.engine.value() + " took " + describe(order) + " after " + describe(*engine.latest));
    return;
  }
  const auto& began = epoch_began_[order.domain];
  const auto newer = began.upper_bound(order.epoch);
  if (newer != began.end() && newer->second < order.sent) {
    reporter_.violated(Promise::kStaleOrdersHaveNoEffect,
                       order.engine.value() + " took " + describe(order) + ", sent when epoch " +
                           std::to_string(newer->first.value()) + " was in charge");
  }
}

void OrderChecks::on(const OrderEnded& order) {
  EngineState& engine = engines_[order.engine];
  if (engine.current && engine.current->epoch == order.epoch &&
      engine.current->sequence == order.sequence) {
    engine.current.reset();
  }
}

void OrderChecks::on(const EngineRestarted& restart) {
  engines_[restart.engine].current.reset();
}

}  // namespace ochrespring::oracle
