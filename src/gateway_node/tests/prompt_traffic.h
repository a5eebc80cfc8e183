// Requests whose prompts share parts, some of which crash the engines that run them.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

/// Where a crashing part stands in the prompts of its requests.
enum class PartPlace : std::uint8_t { kFirst, kSecond, kThird, kAlone };

/// A prompt part that crashes engines, and the requests that have it.
struct CrashingPart {
  std::string id;
  double share = 0.15;  ///< Of all requests, from `begin` to `end`.
  Duration begin{};     ///< Since the start of the traffic.
  Duration end{};
  PartPlace place = PartPlace::kSecond;
};

/// Requests that were sent and that began: an event or the whole answer arrived at the first try.
struct BegunRequests {
  std::uint32_t sent = 0;
  std::uint32_t begun = 0;

  double share() const { return sent == 0 ? 1 : static_cast<double>(begun) / sent; }
};

/// Sends streams whose prompts have one of three first parts, one of six second parts and a part
/// of their own. A caller sends each request at most twice, the second time where its first try
/// failed without any event.
class PromptTraffic {
 public:
  static constexpr std::size_t kFirstParts = 3;
  static constexpr std::size_t kSecondParts = 6;

  PromptTraffic(CrashFleet& fleet, double per_second, Duration span,
                std::vector<CrashingPart> parts)
      : fleet_(fleet), per_second_(per_second), parts_(std::move(parts)), start_(fleet.time.now()) {
    for (const CrashingPart& part : parts_) {
      fleet_.crashing_parts.insert(part.id);
    }
    end_ = start_ + span;
    send_next();
  }

  /// Sound requests with this first part that were sent in an interval since the start.
  BegunRequests sound(const std::string& first_part, Duration from, Duration to) const {
    BegunRequests sum;
    for (const Sound& request : sound_) {
      if (request.first_part == first_part && request.at >= start_ + from &&
          request.at < start_ + to) {
        ++sum.sent;
        sum.begun += request.begun ? 1 : 0;
      }
    }
    return sum;
  }
  BegunRequests sound(Duration from, Duration to) const {
    BegunRequests sum;
    for (std::size_t i = 0; i != kFirstParts; ++i) {
      const BegunRequests part = sound(first_part(i), from, to);
      sum.sent += part.sent;
      sum.begun += part.begun;
    }
    return sum;
  }
  /// Time since the start of the part's fifth crash, or of the last if there are fewer.
  Duration last_counted_crash(const std::string& part) const {
    const std::vector<MonotonicTime>& crashes = fleet_.part_crashes[part];
    REQUIRE_FALSE(crashes.empty());
    return crashes[std::min<std::size_t>(crashes.size(), 5) - 1] - start_;
  }
  static std::string first_part(std::size_t number) { return "f" + std::to_string(number); }

 private:
  struct Sound {
    MonotonicTime at;
    std::string first_part;
    bool begun = false;
  };

  void send_next() {
    if (fleet_.time.now() >= end_) {
      return;
    }
    send_request();
    fleet_.time.schedule_after(from_seconds(fleet_.random.exponential(1 / per_second_)),
                               [this] { send_next(); });
  }
  void send_request() {
    TestPrompt prompt{{first_part(fleet_.random.below(kFirstParts)),
                       "s" + std::to_string(fleet_.random.below(kSecondParts))}};
    const bool sound = !add_crashing_part(prompt);
    const std::string path = fleet_.random.chance(0.5) ? "/resumable/x" : "/stream/x";
    const std::string body = "body-" + std::to_string(++bodies_);
    const std::size_t index = sound_.size();
    if (sound) {
      sound_.push_back({fleet_.time.now(), prompt.shared_parts.front()});
    }
    fleet_.send_prompt(random_node(), path, body, prompt,
                       [this, sound, index, path, body, prompt](int /*status*/, bool began) {
                         if (sound) {
                           sound_[index].begun = began;
                         }
                         if (!began) {
                           fleet_.send_prompt(random_node(), path, body, prompt, [](int, bool) {});
                         }
                       });
  }
  /// Returns whether the request has a crashing part, which is then in `prompt`.
  bool add_crashing_part(TestPrompt& prompt) {
    const Duration age = fleet_.time.now() - start_;
    for (const CrashingPart& part : parts_) {
      if (age < part.begin || age >= part.end || !fleet_.random.chance(part.share)) {
        continue;
      }
      switch (part.place) {
        case PartPlace::kFirst:
          prompt.shared_parts[0] = part.id;
          break;
        case PartPlace::kSecond:
          prompt.shared_parts[1] = part.id;
          break;
        case PartPlace::kThird:
          prompt.shared_parts.push_back(part.id);
          break;
        case PartPlace::kAlone:
          prompt.shared_parts = {part.id};
          break;
      }
      return true;
    }
    return false;
  }
  std::size_t random_node() { return fleet_.random.below(fleet_.nodes.size()); }

  CrashFleet& fleet_;
  double per_second_;
  std::vector<CrashingPart> parts_;
  MonotonicTime start_;
  MonotonicTime end_{};
  std::uint64_t bodies_ = 0;
  std::vector<Sound> sound_;
};

}  // namespace ochrespring::gateway_node::testing
