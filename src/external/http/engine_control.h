// Engines' control interface over HTTP and JSON, as docs/PLATFORM.md describes it.
#pragma once

#include "external/engine_control.h"
#include "http/client.h"

namespace ochrespring::external {

/// Used on the loop of `client` only.
class HttpEngineControl final : public EngineControl {
 public:
  /// `timeout` bounds each call.
  explicit HttpEngineControl(http::Client& client, Duration timeout = std::chrono::seconds(2))
      : client_(client), timeout_(timeout) {}

  void status(const Endpoint& engine, ExternalCallback<engine::EngineStatus> done) override;
  void order(const Endpoint& engine, const engine::EngineOrder& order,
             ExternalCallback<engine::EngineStatus> done) override;
  void load(const Endpoint& engine,
            ExternalCallback<std::vector<engine::LoadReport>> done) override;
  void cache_events(const Endpoint& engine, std::uint64_t after,
                    ExternalCallback<CacheEventBatch> done) override;

 private:
  http::ClientRequest request(const Endpoint& engine, std::string path) const;

  http::Client& client_;
  Duration timeout_;
};

}  // namespace ochrespring::external
