#include "membership/probe_schedule.h"

#include <algorithm>
#include <utility>

namespace ochrespring::membership {

void ProbeSchedule::set_neighbours(Neighbours neighbours) {
  near_ = {std::move(neighbours.near), 0};
  far_ = {std::move(neighbours.far), 0};
  shuffle(near_.members);
  shuffle(far_.members);
}

const Member* ProbeSchedule::next() {
  const bool far = near_.members.empty() || random_.chance(remote_share_);
  return advance(far && !far_.members.empty() ? far_ : near_);
}

std::vector<Member> ProbeSchedule::sample(std::size_t count) {
  std::vector<Member> chosen;
  if (!far_.members.empty() && count > 0) {
    chosen.push_back(far_.members[random_.below(far_.members.size())]);
  }
  const std::size_t wanted = std::min(count - chosen.size(), near_.members.size());
  const std::size_t start = wanted > 0 ? random_.below(near_.members.size()) : 0;
  for (std::size_t i = 0; i < wanted; ++i) {
    // Successive places in a shuffled list are as good as independent draws.
    chosen.push_back(near_.members[(start + i) % near_.members.size()]);
  }
  return chosen;
}

const Member* ProbeSchedule::advance(Ring& ring) {
  if (ring.members.empty()) {
    return nullptr;
  }
  if (ring.position >= ring.members.size()) {
    shuffle(ring.members);
    ring.position = 0;
  }
  return &ring.members[ring.position++];
}

void ProbeSchedule::shuffle(std::vector<Member>& members) {
  for (std::size_t i = members.size(); i > 1; --i) {
    std::swap(members[i - 1], members[random_.below(i)]);
  }
}

}  // namespace ochrespring::membership
