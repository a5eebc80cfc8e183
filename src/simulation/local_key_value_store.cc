#include "simulation/local_key_value_store.h"

#include <utility>

namespace ochrespring::simulation {

using external::ExternalCallback;
using external::ExternalErrc;
using external::ExternalError;
using external::KeyValueEntry;
using external::KeyVersion;
using external::LeaseId;
using external::SwapOutcome;
using standin::KeyValueTable;

namespace {

ExternalError from_table(const KeyValueTable::Error& error) {
  const bool unknown_lease = error.code == KeyValueTable::Errc::kUnknownLease;
  return {unknown_lease ? ExternalErrc::kNotFound : ExternalErrc::kRefused, error.message};
}

}  // namespace

class LocalWatch final : public external::Watch {
 public:
  LocalWatch(LocalKeyValueService& service, std::uint64_t listener)
      : service_(service), listener_(listener) {}
  ~LocalWatch() override { service_.listeners_.erase(listener_); }
  LocalWatch(const LocalWatch&) = delete;
  LocalWatch& operator=(const LocalWatch&) = delete;

 private:
  LocalKeyValueService& service_;
  std::uint64_t listener_;
};

void LocalKeyValueService::notify(const KeyValueEntry& entry) {
  for (const auto& [id, listener] : listeners_) {
    const bool lost = down || random_.chance(lost_watch_event);
    if (lost || !entry.key.starts_with(listener.prefix)) {
      continue;
    }
    time_.schedule_after(delay, [this, id = id, entry] {
      const auto found = listeners_.find(id);
      if (found == listeners_.end()) {
        return;
      }
      external::WatchObserver* observer = found->second.observer;
      found->second.run([observer, entry] { observer->on_change(entry); });
    });
  }
}

LocalKeyValueStore::LocalKeyValueStore(LocalKeyValueService& service, Runner runner)
    : service_(service), runner_(std::move(runner)) {
  if (!runner_) {
    runner_ = [](const std::function<void()>& callback) { callback(); };
  }
}

template <class T>
void LocalKeyValueStore::answer(Duration delay, ExternalCallback<T> done,
                                Result<T, ExternalError> result) {
  service_.time_.schedule_after(delay, [this, done = std::move(done), result = std::move(result),
                                        guard = std::weak_ptr<bool>(alive_)] {
    if (!guard.expired()) {
      runner_([&] { done(result); });
    }
  });
}

template <class T>
void LocalKeyValueStore::call(std::function<Result<T, ExternalError>(KeyValueTable&)> effect,
                              ExternalCallback<T> done) {
  ++calls_;
  ++service_.calls;
  const ExternalError timed_out{ExternalErrc::kUnknownEffect, "no answer from the service"};
  if (service_.down) {
    answer<T>(service_.time_out, std::move(done), outcome::failure(timed_out));
    return;
  }
  if (!service_.table_.admit()) {
    const ExternalError limited{ExternalErrc::kRateLimited, "too many calls"};
    answer<T>(service_.delay, std::move(done), outcome::failure(limited));
    return;
  }
  Result<T, ExternalError> result = effect(service_.table_);
  if (service_.random_.chance(service_.lost_answer)) {
    answer<T>(service_.time_out, std::move(done), outcome::failure(timed_out));
    return;
  }
  answer<T>(service_.delay, std::move(done), std::move(result));
}

void LocalKeyValueStore::get(const std::string& key,
                             ExternalCallback<std::optional<KeyValueEntry>> done) {
  call<std::optional<KeyValueEntry>>([key](KeyValueTable& table) { return table.get(key); },
                                     std::move(done));
}

void LocalKeyValueStore::list(const std::string& prefix,
                              ExternalCallback<std::vector<KeyValueEntry>> done) {
  call<std::vector<KeyValueEntry>>([prefix](KeyValueTable& table) { return table.list(prefix); },
                                   std::move(done));
}

void LocalKeyValueStore::compare_and_swap(const std::string& key, KeyVersion expected,
                                          const std::string& value, std::optional<LeaseId> lease,
                                          ExternalCallback<SwapOutcome> done) {
  call<SwapOutcome>(
      [this, key, expected, value,
       lease](KeyValueTable& table) -> Result<SwapOutcome, ExternalError> {
        auto swapped = table.compare_and_swap(key, expected, value, lease);
        if (swapped.has_error()) {
          return outcome::failure(from_table(swapped.error()));
        }
        if (swapped.value().swapped) {
          service_.notify({key, value, swapped.value().version});
        }
        return std::move(swapped).value();
      },
      std::move(done));
}

void LocalKeyValueStore::compare_and_delete(const std::string& key, KeyVersion expected,
                                            ExternalCallback<SwapOutcome> done) {
  call<SwapOutcome>(
      [this, key, expected](KeyValueTable& table) -> Result<SwapOutcome, ExternalError> {
        SwapOutcome swapped = table.compare_and_delete(key, expected);
        if (swapped.swapped) {
          service_.notify({key, "", KeyVersion()});
        }
        return swapped;
      },
      std::move(done));
}

void LocalKeyValueStore::grant_lease(Duration time_to_live, ExternalCallback<LeaseId> done) {
  call<LeaseId>([time_to_live](KeyValueTable& table) { return table.grant_lease(time_to_live); },
                std::move(done));
}

void LocalKeyValueStore::renew_lease(LeaseId lease, ExternalCallback<LeaseId> done) {
  call<LeaseId>(
      [lease](KeyValueTable& table) -> Result<LeaseId, ExternalError> {
        auto renewed = table.renew_lease(lease);
        if (renewed.has_error()) {
          return outcome::failure(from_table(renewed.error()));
        }
        return renewed.value();
      },
      std::move(done));
}

std::unique_ptr<external::Watch> LocalKeyValueStore::watch(const std::string& prefix,
                                                           external::WatchObserver& observer) {
  const std::uint64_t id = service_.next_listener_++;
  service_.listeners_.emplace(id, LocalKeyValueService::Listener{prefix, &observer, runner_});
  return std::make_unique<LocalWatch>(service_, id);
}

}  // namespace ochrespring::simulation
