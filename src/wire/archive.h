// Compact archives for Boost.Serialization: integers as variable-length numbers, lengths limited by
// the remaining bytes, no class headers. Types provide the usual `serialize(archive, version)`.
#pragma once

#include <bit>
#include <boost/mpl/bool.hpp>
#include <boost/serialization/serialization.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace ochrespring::wire {

/// Thrown only within decode(); never leaves the wire layer.
struct DecodeFailure {
  bool truncated = false;
};

/// Saving archive (Boost.Serialization's saving archive concept) that appends to a string.
class OutputArchive {
 public:
  using is_saving = boost::mpl::true_;
  using is_loading = boost::mpl::false_;

  explicit OutputArchive(std::string& output) : output_(output) {}

  template <class T>
  OutputArchive& operator<<(const T& value) {
    save(value);
    return *this;
  }
  template <class T>
  OutputArchive& operator&(const T& value) {
    return *this << value;
  }

 private:
  void save_varint(std::uint64_t value);
  void save_bytes(std::string_view bytes);

  void save(const std::string& text) {
    save_varint(text.size());
    save_bytes(text);
  }
  template <class T>
  void save(const std::vector<T>& values) {
    save_varint(values.size());
    for (const T& value : values) {
      save(value);
    }
  }
  template <class K, class V>
  void save(const std::map<K, V>& entries) {
    save_varint(entries.size());
    for (const auto& [key, value] : entries) {
      save(key);
      save(value);
    }
  }
  template <class T>
  void save(const std::set<T>& values) {
    save_varint(values.size());
    for (const T& value : values) {
      save(value);
    }
  }
  template <class T>
  void save(const std::optional<T>& value) {
    save(value.has_value());
    if (value) {
      save(*value);
    }
  }
  template <class A, class B>
  void save(const std::pair<A, B>& value) {
    save(value.first);
    save(value.second);
  }
  template <class... Ts>
  void save(const std::variant<Ts...>& value) {
    save_varint(value.index());
    std::visit([this](const auto& alternative) { save(alternative); }, value);
  }
  template <class Rep, class Period>
  void save(const std::chrono::duration<Rep, Period>& span) {
    save(static_cast<std::int64_t>(span.count()));
  }
  template <class T>
  void save(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      save_varint(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_same_v<T, bool> || std::is_unsigned_v<T>) {
      save_varint(value);
    } else if constexpr (std::is_integral_v<T>) {
      const auto wide = static_cast<std::int64_t>(value);
      save_varint((static_cast<std::uint64_t>(wide) << 1U) ^
                  static_cast<std::uint64_t>(wide >> 63));
    } else if constexpr (std::is_floating_point_v<T>) {
      const auto bits = std::bit_cast<std::uint64_t>(static_cast<double>(value));
      save_bytes(std::string_view(reinterpret_cast<const char*>(&bits), sizeof(bits)));
    } else {
      boost::serialization::serialize_adl(*this, const_cast<T&>(value), 0U);
    }
  }

  std::string& output_;
};

/// Loading archive (Boost.Serialization's loading archive concept) over bytes it does not own.
class InputArchive {
 public:
  using is_saving = boost::mpl::false_;
  using is_loading = boost::mpl::true_;

  explicit InputArchive(std::string_view input) : input_(input) {}

  template <class T>
  InputArchive& operator>>(T& value) {
    load(value);
    return *this;
  }
  template <class T>
  InputArchive& operator&(T& value) {
    return *this >> value;
  }

  /// Number of bytes not yet read.
  std::size_t remaining() const { return input_.size(); }

 private:
  std::uint64_t load_varint();
  std::string_view load_bytes(std::size_t count);
  /// Reads an element count. Each element takes at least one byte, which bounds the count.
  std::size_t load_count();

  void load(std::string& text) { text = std::string(load_bytes(load_count())); }
  template <class T>
  void load(std::vector<T>& values) {
    const std::size_t count = load_count();
    values.clear();
    for (std::size_t i = 0; i < count; ++i) {
      load(values.emplace_back());
    }
  }
  template <class K, class V>
  void load(std::map<K, V>& entries) {
    const std::size_t count = load_count();
    entries.clear();
    for (std::size_t i = 0; i < count; ++i) {
      K key{};
      load(key);
      load(entries[std::move(key)]);
    }
  }
  template <class T>
  void load(std::set<T>& values) {
    const std::size_t count = load_count();
    values.clear();
    for (std::size_t i = 0; i < count; ++i) {
      T value{};
      load(value);
      values.insert(std::move(value));
    }
  }
  template <class T>
  void load(std::optional<T>& value) {
    bool present = false;
    load(present);
    value.reset();
    if (present) {
      load(value.emplace());
    }
  }
  template <class A, class B>
  void load(std::pair<A, B>& value) {
    load(value.first);
    load(value.second);
  }
  template <class... Ts>
  void load(std::variant<Ts...>& value) {
    const std::uint64_t index = load_varint();
    if (index >= sizeof...(Ts)) {
      throw DecodeFailure{};
    }
    load_alternative<0>(index, value);
  }
  template <std::size_t I, class... Ts>
  void load_alternative(std::uint64_t index, std::variant<Ts...>& value) {
    if constexpr (I < sizeof...(Ts)) {
      if (index == I) {
        load(value.template emplace<I>());
      } else {
        load_alternative<I + 1>(index, value);
      }
    }
  }
  template <class Rep, class Period>
  void load(std::chrono::duration<Rep, Period>& span) {
    std::int64_t count = 0;
    load(count);
    span = std::chrono::duration<Rep, Period>(static_cast<Rep>(count));
  }
  template <class T>
  void load(T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      const std::uint64_t raw = load_varint();
      if (raw > 1) {
        throw DecodeFailure{};
      }
      value = raw == 1;
    } else if constexpr (std::is_enum_v<T>) {
      const std::uint64_t raw = load_varint();
      if (raw > kMaxEnumerator) {
        throw DecodeFailure{};
      }
      value = static_cast<T>(raw);
    } else if constexpr (std::is_unsigned_v<T>) {
      value = narrow<T>(load_varint());
    } else if constexpr (std::is_integral_v<T>) {
      const std::uint64_t raw = load_varint();
      value = narrow<T>(static_cast<std::int64_t>((raw >> 1U) ^ (~(raw & 1U) + 1U)));
    } else if constexpr (std::is_floating_point_v<T>) {
      std::uint64_t bits = 0;
      const std::string_view bytes = load_bytes(sizeof(bits));
      bytes.copy(reinterpret_cast<char*>(&bits), sizeof(bits));
      value = static_cast<T>(std::bit_cast<double>(bits));
    } else {
      boost::serialization::serialize_adl(*this, value, 0U);
    }
  }
  template <class T, class Wide>
  static T narrow(Wide wide) {
    const T value = static_cast<T>(wide);
    if (static_cast<Wide>(value) != wide) {
      throw DecodeFailure{};
    }
    return value;
  }

  /// Enumerators on the wire are at most this; consumers must still handle unknown ones.
  static constexpr std::uint64_t kMaxEnumerator = 255;

  std::string_view input_;
};

}  // namespace ochrespring::wire
