// The key-value service inside one process under virtual time, without a network of its own: for
// component tests and hollow nodes, which need outages and lost answers but no more.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "external/key_value_store.h"
#include "simulation/virtual_time.h"
#include "standin/model/key_value_table.h"

namespace ochrespring::simulation {

/// State of the service, shared by all clients of one run. Single-threaded.
class LocalKeyValueService {
 public:
  LocalKeyValueService(VirtualTime& time, RandomSource& random,
                       standin::KeyValueSettings settings = {})
      : time_(time), random_(random), table_(time, settings) {}

  /// Reads and writes behind the clients' back.
  standin::KeyValueTable& table() { return table_; }
  /// Tells the watches of an entry written behind the clients' back.
  void notify(const external::KeyValueEntry& entry);

  bool down = false;            ///< Calls time out without effect.
  double lost_answer = 0;       ///< Chance that a call takes effect and times out.
  double lost_watch_event = 0;  ///< Chance that one watch misses one change.
  Duration delay{std::chrono::milliseconds(2)};
  Duration time_out{std::chrono::seconds(1)};
  std::uint64_t calls = 0;  ///< Made by all clients, refused ones too; watches' events excluded.

 private:
  friend class LocalKeyValueStore;
  friend class LocalWatch;
  struct Listener {
    std::string prefix;
    external::WatchObserver* observer;
    std::function<void(std::function<void()>)> run;
  };

  VirtualTime& time_;
  RandomSource& random_;
  standin::KeyValueTable table_;
  std::uint64_t next_listener_ = 1;
  std::map<std::uint64_t, Listener> listeners_;
};

/// One node's client. Answers are dropped after its destruction.
class LocalKeyValueStore final : public external::KeyValueStore {
 public:
  /// Runs a callback in the node's context, for example to measure its processor time.
  using Runner = std::function<void(std::function<void()> callback)>;

  explicit LocalKeyValueStore(LocalKeyValueService& service, Runner runner = {});

  void get(const std::string& key,
           external::ExternalCallback<std::optional<external::KeyValueEntry>> done) override;
  void list(const std::string& prefix,
            external::ExternalCallback<std::vector<external::KeyValueEntry>> done) override;
  void compare_and_swap(const std::string& key, external::KeyVersion expected,
                        const std::string& value, std::optional<external::LeaseId> lease,
                        external::ExternalCallback<external::SwapOutcome> done) override;
  void compare_and_delete(const std::string& key, external::KeyVersion expected,
                          external::ExternalCallback<external::SwapOutcome> done) override;
  void grant_lease(Duration time_to_live,
                   external::ExternalCallback<external::LeaseId> done) override;
  void renew_lease(external::LeaseId lease,
                   external::ExternalCallback<external::LeaseId> done) override;
  std::unique_ptr<external::Watch> watch(const std::string& prefix,
                                         external::WatchObserver& observer) override;

  /// Calls made by this client.
  std::uint64_t calls() const { return calls_; }

 private:
  template <class T>
  void call(std::function<Result<T, external::ExternalError>(standin::KeyValueTable&)> effect,
            external::ExternalCallback<T> done);
  template <class T>
  void answer(Duration delay, external::ExternalCallback<T> done,
              Result<T, external::ExternalError> result);

  LocalKeyValueService& service_;
  Runner runner_;
  std::uint64_t calls_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace ochrespring::simulation
