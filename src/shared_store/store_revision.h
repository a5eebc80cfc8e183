// The revision of a change, qualified by the store era in which it was made.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

#include "base/strong_type.h"

namespace ochrespring::shared_store {

/// Numbers the eras of the store. It increases each time the store is restored from an older copy.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// A counter over all changes of the store that is unique only within one era: a store restored
/// from an older copy assigns numbers again. Revisions are therefore ordered by era first, so a
/// lower number of a newer era is newer:
///
///     StoreRevision(26) < StoreRevision(24, StoreEra(1))
///
/// Zero of the first era precedes every change; as a condition it requires that the key does not
/// exist.
class StoreRevision {
 public:
  constexpr StoreRevision() = default;
  constexpr explicit StoreRevision(std::uint64_t number, StoreEra era = StoreEra())
      : era_(era), number_(number) {}

  constexpr StoreEra era() const { return era_; }
  /// The number within the era; not comparable with numbers of other eras.
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
