#include "exploration/explorer.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "base/hash.h"
#include "base/random.h"

namespace ochrespring::exploration {

namespace {

constexpr std::uint32_t kNoParent = 0xFFFFFFFF;

/// How a state was reached; kept for every state, so that a counterexample can be told.
struct Step {
  std::uint32_t parent = kNoParent;
  std::uint16_t transition = 0;
};

struct Open {
  Model model;
  std::uint32_t step;
};

std::vector<std::string> trace(const Settings& settings, const std::vector<Step>& steps,
                               std::uint32_t last) {
  std::vector<std::uint16_t> transitions;
  for (std::uint32_t step = last; steps[step].parent != kNoParent; step = steps[step].parent) {
    transitions.push_back(steps[step].transition);
  }
  std::reverse(transitions.begin(), transitions.end());
  std::vector<std::string> result;
  Model model(settings);
  for (const std::uint16_t transition : transitions) {
    result.push_back(model.describe(transition));
    model.take(transition);
  }
  return result;
}

}  // namespace

Report explore(const Settings& settings, std::uint32_t depth, std::uint64_t largest) {
  Report report;
  std::unordered_set<std::uint64_t> seen;
  std::vector<Step> steps{Step{}};
  std::vector<Open> frontier;
  frontier.push_back({Model(settings), 0});
  seen.insert(stable_hash(frontier.front().model.state()));
  report.states = 1;
  for (std::uint32_t level = 1; level <= depth && !frontier.empty(); ++level) {
    std::vector<Open> next;
    for (const Open& open : frontier) {
      for (std::size_t index = 0; index < open.model.transition_count(); ++index) {
        Model model = open.model;
        if (!model.take(index)) {
          continue;
        }
        ++report.transitions;
        if (!seen.insert(stable_hash(model.state())).second) {
          continue;
        }
        ++report.states;
        const auto step = static_cast<std::uint32_t>(steps.size());
        steps.push_back({open.step, static_cast<std::uint16_t>(index)});
        if (model.violated()) {
          report.depth = level;
          report.violated = model.violated();
          report.trace = trace(settings, steps, step);
          return report;
        }
        if (report.states >= largest) {
          report.truncated = true;
          return report;
        }
        if (level < depth) {
          next.push_back({std::move(model), step});
        }
      }
    }
    report.depth = level;
    frontier = std::move(next);
  }
  return report;
}

Report walk(const Settings& settings, std::uint64_t seed, std::uint64_t walks,
            std::uint32_t length) {
  Report report;
  SeededRandom random(seed);
  const Model start(settings);
  for (std::uint64_t number = 0; number < walks; ++number) {
    Model model = start;
    report.trace.clear();
    for (std::uint32_t step = 1; step <= length; ++step) {
      const std::size_t chosen = random.below(model.transition_count());
      if (random.below(Model::kLargestWeight) >= model.weight(chosen)) {
        --step;
        continue;
      }
      std::string description = model.describe(chosen);
      if (!model.take(chosen)) {
        continue;
      }
      report.trace.push_back(std::move(description));
      ++report.states;
      report.depth = std::max(report.depth, step);
      if (model.violated()) {
        report.depth = step;
        report.violated = model.violated();
        return report;
      }
    }
  }
  report.trace.clear();
  return report;
}

}  // namespace ochrespring::exploration
