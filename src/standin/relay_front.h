// HTTP front of an ordinary back end: the text relay, the ticket service.
#pragma once

#include <cstdint>
#include <string>

#include "engine/types.h"
#include "standin/model/relay_log.h"
#include "standin/service_front.h"

namespace ochrespring::standin {

struct RelayFrontSettings {
  EngineId id;
  Endpoint listen{"127.0.0.1:0"};
  std::uint64_t fault_seed = 1;
  Duration service_time{std::chrono::milliseconds(5)};  ///< Of each call.
  std::uint32_t concurrent_calls = 256;                 ///< Above it calls are refused as not run.
};

/// Runs every call it takes and counts the runs of each Idempotency-Key; nothing is deduplicated.
/// `GET /log` gives the counts, `GET /status` and `GET /load` what engines give. Used on the loop
/// only.
class RelayFront {
 public:
  RelayFront(http::EventLoop& loop, const RelayFrontSettings& settings);

  ServiceFront& front() { return front_; }
  const EngineId& id() const { return settings_.id; }
  const RelayLog& log() const { return log_; }
  std::uint32_t in_flight() const { return in_flight_; }
  /// From now on calls are refused as not run.
  void drain() { draining_ = true; }

 private:
  void handle_call(const http::Request& request, const WriterPointer& response);
  void answer_call(const http::Request& request, std::uint64_t run, const WriterPointer& response);
  void handle_log(const WriterPointer& response) const;
  engine::EngineStatus status() const;
  engine::LoadReport load();

  http::EventLoop& loop_;
  RelayFrontSettings settings_;
  RelayLog log_;
  std::uint32_t in_flight_ = 0;
  std::uint64_t reports_ = 0;
  bool draining_ = false;
  ServiceFront front_;
};

}  // namespace ochrespring::standin
