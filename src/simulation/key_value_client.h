// A process's client of the simulated key-value service.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "external/key_value_store.h"
#include "simulation/key_value_service.h"
#include "simulation/process_runtime.h"

namespace ochrespring::simulation {

/// Planted bugs of the client.
struct KeyValueTestingFaults {
  bool swaps_without_compare = false;     ///< Writes whatever the version is.
  bool takes_lost_swaps_as_done = false;  ///< Reports success when no answer came.
};

/// Calls cross the network twice and time out; a lost answer leaves the effect unknown.
class KeyValueClient final : public external::KeyValueStore {
 public:
  KeyValueClient(Network& network, KeyValueService& service, ProcessRuntime& process, HostName self,
                 KeyValueTestingFaults testing_faults = {})
      : network_(network),
        service_(service),
        process_(process),
        self_(std::move(self)),
        testing_faults_(testing_faults) {}

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

 private:
  template <class T>
  void call(std::function<Result<T, external::ExternalError>(standin::KeyValueTable&)> effect,
            external::ExternalCallback<T> done);

  Network& network_;
  KeyValueService& service_;
  ProcessRuntime& process_;
  HostName self_;
  KeyValueTestingFaults testing_faults_;
};

}  // namespace ochrespring::simulation
