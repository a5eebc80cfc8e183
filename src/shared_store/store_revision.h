// Where a change stands in the life of the shared store.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

#include "base/strong_type.h"

namespace ochrespring::shared_store {

/// Counts the lives of the store: it rises each time the store comes back from an older copy.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// One number counts every change of the store, but only within one life: a store that comes back
/// from an older copy gives numbers out again. So the life comes first in the order: a lower number
/// of a newer life is newer.
///
///     StoreRevision(26) < StoreRevision(24, StoreEra(1))
///
/// Zero of the first life is before every change; as a condition it means an absent key.
class StoreRevision {
 public:
  constexpr StoreRevision() = default;
  constexpr explicit StoreRevision(std::uint64_t number, StoreEra era = StoreEra())
      : era_(era), number_(number) {}

  constexpr StoreEra era() const { return era_; }
  /// Within its life; says nothing beside a number of another one.
  constexpr std::uint64_t value() const { return number_; }
  constexpr StoreRevision next() const { return StoreRevision(number_ + 1, era_); }

  constexpr auto operator<=>(const StoreRevision&) const = default;
  constexpr bool operator==(const StoreRevision&) const = default;

  friend std::ostream& operator<<(std::ostream& out, StoreRevision revision) {
    return out << revision.era_ << '/' << revision.number_;
  }

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& era_;
    archive& number_;
  }

 private:
  StoreEra era_;
  std::uint64_t number_ = 0;
};

}  // namespace ochrespring::shared_store
