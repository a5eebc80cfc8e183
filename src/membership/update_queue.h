// News waiting to be piggybacked: each update is sent a bounded number of times, the least sent
// first.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "membership/messages.h"

namespace ochrespring::membership {

/// Holds at most one update per member, the newest.
class UpdateQueue {
 public:
  /// Queues news of a member in place of older news of it.
  void push(const MemberUpdate& update);
  /// Takes updates worth at most `bytes`, counting one transmission for each; an update is dropped
  /// after `transmissions`.
  std::vector<MemberUpdate> take(std::size_t bytes, std::size_t transmissions);
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    MemberUpdate update;
    std::size_t sent = 0;
  };
  std::map<NodeId, Entry> entries_;
};

/// Upper estimate of an update's encoded size.
std::size_t encoded_bytes(const MemberUpdate& update);

}  // namespace ochrespring::membership
