// One call over the simulated network: a request leg, an effect at the far side, an answer leg and
// the caller's time limit.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "external/errc.h"
#include "simulation/network.h"
#include "simulation/process_runtime.h"

namespace ochrespring::simulation {

/// Where a call comes from, where it goes and how it may fail on the way.
struct CallRoute {
  HostName from;
  HostName to;
  Duration time_limit{std::chrono::seconds(1)};  ///< On the caller's clock.
  Duration extra_delay{};                        ///< At the far side, before the effect.
  double lost_answer = 0;                        ///< Chance that the answer is lost.
  FaultKind lost_answer_kind = FaultKind::kEngineAnswerLost;
};

/// Carries out one call. `effect` runs at the far side zero or one times, and returns nothing when
/// the far side is not there to answer. `done` runs exactly once on the caller's loop, with
/// kUnknownEffect when no answer came in time.
template <class T>
void remote_call(Network& network, ProcessRuntime& caller, const CallRoute& route,
                 std::function<std::optional<Result<T, external::ExternalError>>()> effect,
                 external::ExternalCallback<T> done) {
  struct Call {
    bool finished = false;
    TimerId limit = 0;
    external::ExternalCallback<T> done;
  };
  const auto call = std::make_shared<Call>();
  call->done = std::move(done);
  const auto finish = [call, &caller](Result<T, external::ExternalError> result) {
    if (call->finished) {
      return;
    }
    call->finished = true;
    caller.cancel(call->limit);
    call->done(std::move(result));
  };
  call->limit = caller.schedule_after(route.time_limit, [finish] {
    finish(fail(external::ExternalErrc::kUnknownEffect, "no answer in time"));
  });
  const auto outbound = std::make_shared<StreamDirection>(network, route.from, route.to);
  const auto inbound = std::make_shared<StreamDirection>(network, route.to, route.from);
  std::weak_ptr<ProcessRuntime> process = caller.weak_from_this();
  outbound->send([&network, route, effect = std::move(effect), finish, inbound, process] {
    network.time().schedule_after(
        route.extra_delay, [&network, route, effect, finish, inbound, process] {
          auto result = effect();
          if (!result) {
            return;
          }
          if (route.lost_answer > 0 && network.random().chance(route.lost_answer)) {
            network.counters().count(route.lost_answer_kind);
            return;
          }
          inbound->send([finish, process, answer = std::move(*result)] {
            if (const auto target = process.lock()) {
              target->post([finish, answer] { finish(answer); });
            }
          });
        });
  });
}

}  // namespace ochrespring::simulation
