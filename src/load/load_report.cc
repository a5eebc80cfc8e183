#include "load/load_report.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <vector>

namespace ochrespring::load {

namespace {

constexpr double kShortestSeconds = 1e-5;
constexpr double kLongestSeconds = 1e3;
/// Buckets a decade, for a relative width of about 1 in 100.
constexpr unsigned kBucketsPerDecade = 231;
constexpr unsigned kDecades = 8;
constexpr double kNinetyFifth = 0.95;

Duration quantile_of(std::vector<Duration> spans, double fraction) {
  if (spans.empty()) {
    return Duration::zero();
  }
  const auto rank =
      static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(spans.size())) - 1);
  const auto position = spans.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(spans.begin(), position, spans.end());
  return *position;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets_(boost::histogram::make_histogram(
          Axis(kBucketsPerDecade * kDecades, kShortestSeconds, kLongestSeconds))) {}

void LatencyHistogram::add(Duration span) {
  buckets_(std::max(to_seconds(span), kShortestSeconds));
  ++count_;
}

double LatencyHistogram::quantile(double fraction) const {
  const double wanted = fraction * static_cast<double>(count_);
  double seen = 0;
  for (const auto& bucket : boost::histogram::indexed(buckets_)) {
    seen += *bucket;
    if (seen >= wanted && seen > 0) {
      return bucket.bin().upper();
    }
  }
  return 0;
}

std::string LatencyHistogram::render() const {
  constexpr double kBarWidth = 50;
  std::map<int, double> rows;
  for (const auto& bucket : boost::histogram::indexed(buckets_)) {
    if (*bucket > 0) {
      rows[static_cast<int>(std::floor(std::log2(bucket.bin().lower() / kShortestSeconds)))] +=
          *bucket;
    }
  }
  double highest = 1;
  for (const auto& [row, count] : rows) {
    highest = std::max(highest, count);
  }
  std::ostringstream out;
  for (const auto& [row, count] : rows) {
    const double lower = kShortestSeconds * std::exp2(row) * 1e3;
    out << "  " << std::fixed;
    out.precision(2);
    out.width(11);
    out << lower << " ms  "
        << std::string(static_cast<std::size_t>(count / highest * kBarWidth), '#') << ' '
        << static_cast<std::uint64_t>(count) << '\n';
  }
  return out.str();
}

bool LoadReport::is_good(const AnswerChecker& answer, MonotonicTime started) const {
  return answer.whole() && answer.first_token() &&
         *answer.first_token() - started <= limits_.first_token &&
         quantile_of(answer.gaps(), kNinetyFifth) <= limits_.between_tokens;
}

void LoadReport::record(const AnswerChecker& answer, const Expectation& expectation,
                        MonotonicTime started, bool node_killed) {
  ++statuses_[answer.status()];
  switch (answer.outcome()) {
    case Outcome::kAnswered:
      ++answered_;
      break;
    case Outcome::kNotRun:
      ++not_run_;
      break;
    case Outcome::kUnknown:
      ++unknown_;
      break;
  }
  const Defects& defects = answer.defects();
  if (defects.cut) {
    ++(node_killed && answer.outcome() == Outcome::kUnknown ? cut_by_kill_ : cut_);
  }
  crossed_ += defects.crossed ? 1 : 0;
  doubled_ += defects.doubled_tokens ? 1 : 0;
  good_ += is_good(answer, started) ? 1 : 0;
  tokens_ += expectation.model ? answer.tokens() : 0;
  if (!expectation.idempotency_key.empty()) {
    keys_[expectation.idempotency_key] = answer.outcome();
  }
  if (expectation.model && answer.whole()) {
    first_token_.add(*answer.first_token() - started);
    for (const Duration gap : answer.gaps()) {
      between_tokens_.add(gap);
    }
  }
}

void LoadReport::judge_relays(const RelayCounts& counts) {
  for (const auto& [key, outcome] : keys_) {
    const auto found = counts.find(key);
    const std::uint64_t runs = found == counts.end() ? 0 : found->second;
    doubled_ += runs > 1 ? 1 : 0;
    false_not_run_ += outcome == Outcome::kNotRun && runs > 0 ? 1 : 0;
    false_answered_ += outcome == Outcome::kAnswered && runs == 0 ? 1 : 0;
  }
}

nlohmann::ordered_json LoadReport::to_json() const {
  const double offered = static_cast<double>(std::max<std::uint64_t>(1, sent_));
  const double seconds = std::max(1e-9, to_seconds(elapsed_));
  nlohmann::ordered_json statuses = nlohmann::ordered_json::object();
  for (const auto& [status, count] : statuses_) {
    statuses[std::to_string(status)] = count;
  }
  return {{"sent", sent_},
          {"answered", answered_},
          {"not_run", not_run_},
          {"unknown", unknown_},
          {"doubled", doubled_},
          {"cut", cut_},
          {"crossed", crossed_},
          {"cut_by_kill", cut_by_kill_},
          {"false_not_run", false_not_run_},
          {"false_answered", false_answered_},
          {"unread_relays", unread_relays_},
          {"good", good_},
          {"goodput", static_cast<double>(good_) / offered},
          {"goodput_per_second", static_cast<double>(good_) / seconds},
          {"tokens", tokens_},
          {"seconds", to_seconds(elapsed_)},
          {"ttft_p50_s", first_token_.quantile(0.5)},
          {"ttft_p95_s", first_token_.quantile(kNinetyFifth)},
          {"itl_p50_s", between_tokens_.quantile(0.5)},
          {"itl_p95_s", between_tokens_.quantile(kNinetyFifth)},
          {"statuses", statuses}};
}

std::string LoadReport::render() const {
  std::ostringstream out;
  const nlohmann::ordered_json json = to_json();
  for (const auto& [name, value] : json.items()) {
    out << name << ": " << value << '\n';
  }
  out << "\ntime to first token\n"
      << first_token_.render() << "\ntime between tokens\n"
      << between_tokens_.render();
  return out.str();
}

}  // namespace ochrespring::load
