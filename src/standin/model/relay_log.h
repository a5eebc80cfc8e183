// What an ordinary back end (a text relay, a ticket service) has done: every run of every
// idempotency key. The judge of doubled requests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ochrespring::standin {

/// Runs of one idempotency key.
struct RelayKeyCount {
  std::string key;
  std::uint64_t runs = 0;
};

/// Single-threaded. The relay deduplicates nothing by itself: each arrival runs.
class RelayLog {
 public:
  /// Records that a request ran; an empty key counts among the anonymous ones. Returns the runs of
  /// this key so far, this one included.
  std::uint64_t record_run(const std::string& key);

  std::uint64_t runs() const { return runs_; }
  std::uint64_t distinct_keys() const { return runs_by_key_.size(); }
  /// Keys that ran more than once.
  std::vector<RelayKeyCount> doubled() const;
  /// Runs of one key.
  std::uint64_t runs_of(const std::string& key) const;
  /// All keys in order.
  const std::map<std::string, std::uint64_t>& counts() const { return runs_by_key_; }

 private:
  std::uint64_t runs_ = 0;
  std::map<std::string, std::uint64_t> runs_by_key_;
};

}  // namespace ochrespring::standin
