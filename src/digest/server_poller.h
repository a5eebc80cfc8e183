// Reads the load of the servers assigned to this node and makes records of it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/time.h"
#include "digest/load_record.h"
#include "digest/poll_assignment.h"
#include "external/engine_control.h"

namespace ochrespring::digest {

/// Used on the control loop only.
class ServerPoller {
 public:
  /// Called with each record made.
  using Sink = std::function<void(const LoadRecord& record)>;

  ServerPoller(external::EngineControl& engines, NodeId self, Sink sink);

  /// Replaces the servers to poll; what is known of those that stay is kept.
  void set_servers(std::vector<ServerLayout> servers);
  /// Asks every server once; a server whose last answer is outstanding is left alone for a while.
  void poll(DetailLevel level, MonotonicTime now);

  std::size_t servers() const { return servers_.size(); }
  std::uint64_t polls() const { return polls_; }
  std::uint64_t failures() const { return failures_; }

 private:
  struct EngineState {
    SlowFigures sent;
    std::size_t repeats = 0;  ///< Times changed slow figures are still to be sent.
  };
  struct Server {
    ServerLayout layout;
    std::uint8_t round = 0;
    std::size_t endpoint = 0;  ///< Engine asked; the next one after a failure.
    bool outstanding = false;
    MonotonicTime asked;
    std::vector<EngineState> engines;
  };

  void on_reports(Server& server, const std::vector<engine::LoadReport>& reports,
                  DetailLevel level);
  bool send_slow(EngineState& state, const SlowFigures& slow, std::size_t turn) const;

  external::EngineControl& engines_;
  std::uint8_t poller_;
  Sink sink_;
  std::map<std::uint32_t, std::shared_ptr<Server>> servers_;
  std::uint64_t polls_ = 0;
  std::uint64_t failures_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace ochrespring::digest
