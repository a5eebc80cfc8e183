// Account of the memory that clients make the process hold.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ochrespring::http {

/// Counts bytes that are held on behalf of clients, over all listeners and protocols: requests that
/// are being read, accepted requests with their copies, and answers that have not been written. Not
/// thread-safe; used on one loop.
///
/// Accepted requests may take three quarters of the limit, those with large bodies half of it, so
/// that neither can fill the room that small requests need to be read.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t limit) : limit_(limit) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t total() const { return reading_ + accepted_ + answers_; }
  std::size_t accepted_requests() const { return accepted_requests_; }
  bool exceeded() const { return total() > limit_; }
  /// Whether a complete request of this size may be accepted now. One is always accepted if no
  /// other is held.
  bool admits(std::size_t bytes) const;

  /// What is counted, each as a total of its own.
  enum class Kind : unsigned char { kReading, kAccepted, kAnswers };
  void resize(Kind kind, std::size_t from, std::size_t to);

 private:
  std::size_t& of(Kind kind);

  std::size_t limit_;
  std::size_t reading_ = 0;   ///< Requests that are not complete yet.
  std::size_t accepted_ = 0;  ///< Requests that were passed to a handler.
  std::size_t accepted_requests_ = 0;
  std::size_t answers_ = 0;  ///< Answers, or parts of them, that connections have not taken.
};

/// Bytes of an account, given back on destruction. Keeps the account alive.
class MemoryCharge {
 public:
  MemoryCharge(std::shared_ptr<MemoryAccount> account, MemoryAccount::Kind kind, std::size_t bytes)
      : account_(std::move(account)), kind_(kind) {
    resize(bytes);
  }
  ~MemoryCharge() { resize(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void resize(std::size_t bytes) { account_->resize(kind_, std::exchange(bytes_, bytes), bytes); }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryAccount> account_;
  MemoryAccount::Kind kind_;
  std::size_t bytes_ = 0;
};

}  // namespace ochrespring::http
