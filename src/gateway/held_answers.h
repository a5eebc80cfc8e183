// Account of what a gateway holds of back ends' answers until it can pass them on.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ochrespring::gateway {

/// Sum over all attempts of the answers that are held until they are whole, and of incomplete
/// events. Used on one event loop.
class HeldAnswers {
 public:
  /// `limit` in bytes.
  explicit HeldAnswers(std::size_t limit = kDefaultLimit) : limit_(limit) {}

  std::size_t total() const { return total_; }
  /// Whether an answer of which `bytes` are held must not be held any longer: the sum exceeds its
  /// limit, and this one is not small.
  bool must_release(std::size_t bytes) const { return total_ > limit_ && bytes > kSmallAnswer; }
  void resize(std::size_t from, std::size_t to) { total_ = total_ - from + to; }

 private:
  static constexpr std::size_t kDefaultLimit = 16U << 20U;
  static constexpr std::size_t kSmallAnswer = 16U << 10U;

  std::size_t limit_;
  std::size_t total_ = 0;
};

/// Bytes of one answer in the account, given back on destruction. Keeps the account alive.
class HeldBytes {
 public:
  explicit HeldBytes(std::shared_ptr<HeldAnswers> all) : all_(std::move(all)) {}
  ~HeldBytes() { resize(0); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void resize(std::size_t bytes) { all_->resize(std::exchange(bytes_, bytes), bytes); }
  /// Whether this answer must not be held any longer.
  bool must_release() const { return all_->must_release(bytes_); }

 private:
  std::shared_ptr<HeldAnswers> all_;
  std::size_t bytes_ = 0;
};

}  // namespace ochrespring::gateway
