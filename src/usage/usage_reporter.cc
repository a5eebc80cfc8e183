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
/// Windows kept in the store after they were written: more than ever are due at once.
constexpr std::uint64_t kWindowsKept = 8;

}  // namespace

UsageReporter::UsageReporter(World world, UsageReporterOptions options)
    : world_(world),
      options_(std::move(options)),
      timer_(world.timers),
      started_(world.wall.now()),
      next_(options_.windows.at(started_)) {}

void UsageReporter::start() {
  timer_.arm(options_.period, [this] {
    step();
    start();
  });
}

bool UsageReporter::is_due(WindowNumber window) const {
  return options_.windows.end_of(window) + options_.settle <= world_.wall.now();
}

bool UsageReporter::is_late(WindowNumber window) const {
  return options_.windows.end_of(window) + options_.due < world_.wall.now();
}

void UsageReporter::reach_back() {
  const auto oldest = world_.tally.oldest();
  if (oldest && *oldest < next_ && !is_late(*oldest)) {
    next_ = *oldest;
  }
}

void UsageReporter::drop_late(bool holding) {
  while (is_late(next_)) {
    if (told_.erase(next_) == 0 && holding) {
      ++statistics_.missed;
      log("usage not reported in time", next_, "");
    }
    next_ = next_.next();
  }
  world_.tally.forget_before(next_);
}

std::optional<WindowNumber> UsageReporter::next_window() const {
  for (WindowNumber window = next_; is_due(window); window = window.next()) {
    if (!told_.contains(window)) {
      return window;
    }
  }
  return std::nullopt;
}

void UsageReporter::step() {
  const auto fence = world_.lease.fence();
  reach_back();
  drop_late(fence.has_value());
  const bool learnt = world_.wall.now() - started_ >= options_.learn;
  if (!fence || calling_ || !learnt) {
    return;
  }
  const auto window = next_window();
  if (!window) {
    return;
  }
  if (!listed_) {
    list(*fence);
  } else if (!written_.contains(*window)) {
    write_down(*window);
  } else {
    tell(*fence, *window);
  }
}

void UsageReporter::list(Fence fence) {
  calling_ = true;
  world_.store.list(options_.key_prefix, [this, fence](auto result) {
    calling_ = false;
    if (!result || world_.lease.fence() != fence) {
      return;
    }
    written_.clear();
    for (const shared_store::Change& item : result.value().items) {
      const std::string_view number = std::string_view(item.key).substr(options_.key_prefix.size());
      std::uint64_t window = 0;
      const auto [end, error] =
          std::from_chars(number.data(), number.data() + number.size(), window);
      auto counts = wire::decode<TenantCounts>(item.value.value_or(""));
      if (error != std::errc() || !counts) {
        log("usage in the store not understood", WindowNumber(window), item.key);
        continue;
      }
      written_[WindowNumber(window)] = std::move(counts.value());
    }
    listed_ = true;
    step();
  });
}

void UsageReporter::write_down(WindowNumber window) {
  calling_ = true;
  TenantCounts counts = world_.tally.sum(window);
  world_.store.commit({.conditions = {world_.lease.still_held(), {key_of(window), {}}},
                       .writes = {{key_of(window), wire::encode(counts), std::nullopt}},
                       .removals = keys_to_remove()},
                      [this, window, counts](auto result) {
                        calling_ = false;
                        if (!result) {
                          // Whether it was done, or somebody else did it, only the store can tell.
                          listed_ = false;
                          log("usage not written down", window, result.error().message);
                          return;
                        }
                        written_[window] = counts;
                        std::erase_if(written_, [&](const auto& entry) {
                          return entry.first.value() + kWindowsKept < window.value();
                        });
                        step();
                      });
}

void UsageReporter::on_store_set_back() {
  listed_ = false;
  for (const auto& [window, counts] : written_) {
    world_.store.commit({.conditions = {{key_of(window), {}}},
                         .writes = {{key_of(window), wire::encode(counts), std::nullopt}},
                         .removals = {}},
                        [this, window = window](const auto& result) {
                          const bool there =
                              result || result.error().code == shared_store::StoreErrc::kConflict;
                          if (!there) {
                            log("usage not written down again", window, result.error().message);
                          }
                        });
  }
}

std::vector<std::string> UsageReporter::keys_to_remove() const {
  std::vector<std::string> keys;
  for (const auto& [window, counts] : written_) {
    if (window.value() + kWindowsKept < next_.value()) {
      keys.push_back(key_of(window));
    }
  }
  return keys;
}

void UsageReporter::tell(Fence fence, WindowNumber window) {
  calling_ = true;
  world_.sink.report_usage(fence, {window, written_.at(window)}, [this, window](auto result) {
    calling_ = false;
    if (result) {
      ++statistics_.reported;
      told_.insert(window);
      log("usage reported", window, "");
      return;
    }
    log("usage report failed", window, result.error().message);
    if (result.error().code == DutyErrc::kRefused) {
      ++statistics_.refused;
      world_.lease.give_up();
    }
  });
}

std::string UsageReporter::key_of(WindowNumber window) const {
  return options_.key_prefix + std::to_string(window.value());
}

void UsageReporter::log(std::string_view message, WindowNumber window, std::string_view detail) {
  const auto written = written_.find(window);
  std::uint64_t runs = 0;
  if (written != written_.end()) {
    for (const auto& [tenant, count] : written->second) {
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
