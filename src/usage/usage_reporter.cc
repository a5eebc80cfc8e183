#include "usage/usage_reporter.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace ochrespring::usage {

namespace {

using duties::DutyErrc;
using duties::Fence;

constexpr std::string_view kComponent = "usage";
/// Number of past windows kept in the store after they were written; more than are ever due at
/// once.
constexpr std::uint64_t kStoredWindowsKept = 8;

}  // namespace

UsageReporter::UsageReporter(World world, UsageReporterOptions options)
    : world_(world),
      options_(std::move(options)),
      timer_(world.timers),
      started_(world.wall.now()),
      next_window_(options_.windows.at(started_)) {}

void UsageReporter::start() {
  timer_.arm(options_.period, [this] {
    step();
    start();
  });
}

bool UsageReporter::is_due(WindowNumber window) const {
  return options_.windows.end_of(window) + options_.settling_time <= world_.wall.now();
}

bool UsageReporter::is_expired(WindowNumber window) const {
  return options_.windows.end_of(window) + options_.report_deadline < world_.wall.now();
}

void UsageReporter::include_earlier_windows() {
  const auto oldest = world_.tally.oldest();
  if (oldest && *oldest < next_window_ && !is_expired(*oldest)) {
    next_window_ = *oldest;
  }
}

void UsageReporter::drop_expired(bool holding) {
  while (is_expired(next_window_)) {
    if (reported_.erase(next_window_) == 0 && holding) {
      ++statistics_.missed;
      log("usage not reported in time", next_window_, "");
    }
    next_window_ = next_window_.next();
  }
  world_.tally.discard_before(next_window_);
}

std::optional<WindowNumber> UsageReporter::window_to_report() const {
  for (WindowNumber window = next_window_; is_due(window); window = window.next()) {
    if (!reported_.contains(window)) {
      return window;
    }
  }
  return std::nullopt;
}

void UsageReporter::step() {
  const auto fence = world_.lease.fence();
  include_earlier_windows();
  drop_expired(fence.has_value());
  const bool learned = world_.wall.now() - started_ >= options_.startup_delay;
  if (!fence || call_pending_ || !learned) {
    return;
  }
  const auto window = window_to_report();
  if (!window) {
    return;
  }
  if (!stored_is_current_) {
    read_stored(*fence);
  } else if (!stored_.contains(*window)) {
    store_sum(*window);
  } else {
    send_report(*fence, *window);
  }
}

void UsageReporter::read_stored(Fence fence) {
  call_pending_ = true;
  world_.store.list(options_.key_prefix, [this, fence](auto result) {
    call_pending_ = false;
    if (!result || world_.lease.fence() != fence) {
      return;
    }
    stored_.clear();
    for (const shared_store::Change& item : result.value().items) {
      const std::string_view number = std::string_view(item.key).substr(options_.key_prefix.size());
      std::uint64_t window = 0;
      const auto [end, error] =
          std::from_chars(number.data(), number.data() + number.size(), window);
      auto counts = wire::decode<TenantCounts>(item.value.value_or(""));
      if (error != std::errc() || !counts) {
        log("stored usage cannot be decoded", WindowNumber(window), item.key);
        continue;
      }
      stored_[WindowNumber(window)] = std::move(counts.value());
    }
    stored_is_current_ = true;
    step();
  });
}

void UsageReporter::store_sum(WindowNumber window) {
  call_pending_ = true;
  TenantCounts counts = world_.tally.sum(window);
  world_.store.commit({.conditions = {world_.lease.held_condition(), {key_of(window), {}}},
                       .writes = {{key_of(window), wire::encode(counts), std::nullopt}},
                       .removals = keys_to_remove()},
                      [this, window, counts](auto result) {
                        call_pending_ = false;
                        if (!result) {
                          // The commit may have succeeded, or another node may have written the
                          // sum: read the store again.
                          stored_is_current_ = false;
                          log("usage could not be stored", window, result.error().message);
                          return;
                        }
                        stored_[window] = counts;
                        std::erase_if(stored_, [&](const auto& entry) {
                          return entry.first.value() + kStoredWindowsKept < window.value();
                        });
                        step();
                      });
}

void UsageReporter::on_store_rolled_back() {
  stored_is_current_ = false;
  for (const auto& [window, counts] : stored_) {
    world_.store.commit(
        {.conditions = {{key_of(window), {}}},
         .writes = {{key_of(window), wire::encode(counts), std::nullopt}},
         .removals = {}},
        [this, window = window](const auto& result) {
          const bool stored = result || result.error().code == shared_store::StoreErrc::kConflict;
          if (!stored) {
            log("usage could not be restored after a rollback", window, result.error().message);
          }
        });
  }
}

std::vector<std::string> UsageReporter::keys_to_remove() const {
  std::vector<std::string> keys;
  for (const auto& [window, counts] : stored_) {
    if (window.value() + kStoredWindowsKept < next_window_.value()) {
      keys.push_back(key_of(window));
    }
  }
  return keys;
}

void UsageReporter::send_report(Fence fence, WindowNumber window) {
  call_pending_ = true;
  world_.sink.report_usage(fence, {window, stored_.at(window)}, [this, window](auto result) {
    call_pending_ = false;
    if (result) {
      ++statistics_.reported;
      reported_.insert(window);
      log("usage reported", window, "");
      return;
    }
    log("usage report failed", window, result.error().message);
    if (result.error().code == DutyErrc::kRefused) {
      ++statistics_.refused;
      world_.lease.relinquish();
    }
  });
}

std::string UsageReporter::key_of(WindowNumber window) const {
  return options_.key_prefix + std::to_string(window.value());
}

void UsageReporter::log(std::string_view message, WindowNumber window, std::string_view detail) {
  const auto stored = stored_.find(window);
  std::uint64_t runs = 0;
  if (stored != stored_.end()) {
    for (const auto& [tenant, count] : stored->second) {
      runs += count;
    }
  }
  world_.logger.write(
      {logging::Level::kInfo,
       kComponent,
       std::string(message),
       {{"window", window.value()}, {"runs", runs}, {"detail", std::string(detail)}}});
}

}  // namespace ochrespring::usage
