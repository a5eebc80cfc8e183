// HTTP front of the model engine stand-in.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/client.h"
#include "standin/completion_answer.h"
#include "standin/engine_process.h"
#include "standin/service_front.h"

namespace ochrespring::standin {

/// Where an engine stands, for the cost of KV transfers.
struct EnginePlace {
  ServerId server;
  ZoneName zone;
  RegionName region;
};

struct EngineFrontSettings {
  Endpoint listen{"127.0.0.1:0"};
  std::uint64_t fault_seed = 1;
  EnginePlace place;
  EngineProcessSettings process;
  std::uint32_t queue_limit = 512;  ///< Requests inside; above it calls are refused as not run.
  bool any_model = false;           ///< Answers for every model name.
  bool no_cost = false;             ///< Answers at once, past the engine model.
};

/// Serves an EngineProcess; docs/PLATFORM.md gives the calls. Actions: `crash`, `forget-fence`.
/// Used on the loop only.
class EngineFront {
 public:
  /// `client` fetches KV caches from other engines; `weights` may be null.
  EngineFront(http::EventLoop& loop, const Clock& clock, http::Client& client,
              external::WeightStore* weights, const EngineFrontSettings& settings);
  ~EngineFront();
  EngineFront(const EngineFront&) = delete;
  EngineFront& operator=(const EngineFront&) = delete;

  ServiceFront& front() { return front_; }
  EngineProcess& process() { return process_; }
  const EngineId& id() const { return settings_.process.initial.engine; }
  /// From now on completions are refused as not run.
  void drain() { draining_ = true; }
  std::size_t in_flight() const { return runs_.size(); }

 private:
  /// One completion inside the engine.
  class Run;
  using SequenceId = engine_model::SequenceId;

  void handle_completion(const http::Request& request, const WriterPointer& response);
  void refuse(const CompletionRequest& request, const WriterPointer& response, const char* reason);
  /// Whether `MODEL` or `MODEL:ADAPTER` is loaded.
  bool serves(const std::string& model) const;
  const char* reason_to_refuse(const CompletionRequest& request) const;
  void start_run(const CompletionRequest& request, const WriterPointer& response,
                 std::optional<Duration> import_delay);
  void answer_at_once(const CompletionRequest& request, const WriterPointer& response);
  void import_then_start(const CompletionRequest& request, const WriterPointer& response);
  engine_model::SequenceSpec spec_of(const CompletionRequest& request, SequenceId sequence,
                                     bool imported) const;
  void end_run(SequenceId sequence);
  void handle_order(const http::Request& request, const WriterPointer& response);
  void handle_load(const WriterPointer& response);
  void handle_cache_events(const http::Request& request, const WriterPointer& response);
  void handle_export(const http::Request& request, const WriterPointer& response);
  void handle_cancel(const http::Request& request, const WriterPointer& response);
  Run* find_run(const std::string& request_id_or_handle);

  http::EventLoop& loop_;
  http::Client& client_;
  EngineFrontSettings settings_;
  ServiceFront front_;
  EngineProcess process_;
  SequenceId next_sequence_ = 1;
  std::unordered_map<SequenceId, std::unique_ptr<Run>> runs_;
  bool draining_ = false;
};

}  // namespace ochrespring::standin
