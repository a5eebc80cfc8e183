// The key-value service over HTTP and JSON, as docs/PLATFORM.md describes it.
#pragma once

#include <memory>
#include <string>

#include "base/random.h"
#include "base/timer.h"
#include "external/key_value_store.h"
#include "http/client.h"

namespace ochrespring::external {

struct HttpKeyValueSettings {
  Endpoint endpoint;
  Duration timeout{std::chrono::seconds(3)};      ///< Of one call.
  Duration watch_wait{std::chrono::seconds(30)};  ///< How long the service may hold a watch call.
  Duration shortest_retry{std::chrono::milliseconds(500)};  ///< Of a failed watch call.
  Duration longest_retry{std::chrono::seconds(10)};
};

/// Used on the loop of `client` and `timers` only. A watch is a chain of long polls: one call of
/// the service's rate limit per change batch or per `watch_wait`.
class HttpKeyValueStore final : public KeyValueStore {
 public:
  HttpKeyValueStore(http::Client& client, TimerService& timers, RandomSource& random,
                    HttpKeyValueSettings settings);

  void get(const std::string& key, ExternalCallback<std::optional<KeyValueEntry>> done) override;
  void list(const std::string& prefix, ExternalCallback<std::vector<KeyValueEntry>> done) override;
  void compare_and_swap(const std::string& key, KeyVersion expected, const std::string& value,
                        std::optional<LeaseId> lease, ExternalCallback<SwapOutcome> done) override;
  void compare_and_delete(const std::string& key, KeyVersion expected,
                          ExternalCallback<SwapOutcome> done) override;
  void grant_lease(Duration time_to_live, ExternalCallback<LeaseId> done) override;
  void renew_lease(LeaseId lease, ExternalCallback<LeaseId> done) override;
  std::unique_ptr<Watch> watch(const std::string& prefix, WatchObserver& observer) override;

 private:
  http::ClientRequest request(std::string method, std::string path, std::string body = {}) const;

  http::Client& client_;
  TimerService& timers_;
  RandomSource& random_;
  HttpKeyValueSettings settings_;
};

}  // namespace ochrespring::external
