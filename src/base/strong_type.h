// Distinct types over strings and integers, so that, for example, a zone cannot be passed as a
// server.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ochrespring {

/// String type distinguished by `Tag`.
template <class Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongString&) const = default;
  bool operator==(const StrongString&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongString& name) {
    return out << name.value_;
  }

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& value_;
  }

 private:
  std::string value_;
};

/// Integer type distinguished by `Tag`.
template <class Tag, class Rep = std::uint64_t>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : value_(value) {}

  constexpr Rep value() const { return value_; }
  /// Returns the successor of this number.
  constexpr StrongNumber next() const { return StrongNumber(value_ + 1); }

  constexpr auto operator<=>(const StrongNumber&) const = default;
  constexpr bool operator==(const StrongNumber&) const = default;

  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.value_;
  }

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& value_;
  }

 private:
  Rep value_{};
};

}  // namespace ochrespring

template <class Tag>
struct std::hash<ochrespring::StrongString<Tag>> {
  std::size_t operator()(const ochrespring::StrongString<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

template <class Tag, class Rep>
struct std::hash<ochrespring::StrongNumber<Tag, Rep>> {
  std::size_t operator()(ochrespring::StrongNumber<Tag, Rep> number) const noexcept {
    return std::hash<Rep>{}(number.value());
  }
};
