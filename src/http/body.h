// Body of a message, shared instead of copied.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/memory_account.h"

namespace ochrespring::http {

/// Immutable bytes that all copies share. The memory, and its charge to an account, is released
/// with the last copy.
///
///     outgoing.body = incoming.body;  // copies no bytes
class Body {
 public:
  Body() = default;
  // NOLINTBEGIN(google-explicit-constructor): a body is made wherever text is given.
  Body(std::string text) : Body(std::move(text), nullptr) {}
  Body(std::string_view text) : Body(std::string(text)) {}
  Body(const char* text) : Body(std::string(text)) {}
  operator std::string_view() const { return view(); }
  // NOLINTEND(google-explicit-constructor)
  /// `charge` may be null.
  Body(std::string text, std::unique_ptr<MemoryCharge> charge)
      : storage_(std::make_shared<const Storage>(Storage{std::move(text), std::move(charge)})) {}

  std::string_view view() const { return storage_ ? std::string_view(storage_->text) : ""; }
  std::size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }

  friend bool operator==(const Body& left, std::string_view right) { return left.view() == right; }

 private:
  struct Storage {
    std::string text;
    std::unique_ptr<MemoryCharge> charge;
  };

  std::shared_ptr<const Storage> storage_;
};

}  // namespace ochrespring::http
