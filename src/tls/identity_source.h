// Where servers and clients take their current identity from.
#pragma once

#include <memory>

#include "tls/identity.h"

namespace ochrespring::tls {

/// Gives the identity in use. Thread-safe: handshakes ask on their own threads.
class IdentitySource {
 public:
  virtual ~IdentitySource() = default;
  /// Never null. A new object whenever the identity has changed.
  virtual std::shared_ptr<const Identity> current() const = 0;
};

/// An identity that never changes.
class FixedIdentity final : public IdentitySource {
 public:
  explicit FixedIdentity(Identity identity)
      : identity_(std::make_shared<const Identity>(std::move(identity))) {}
  std::shared_ptr<const Identity> current() const override { return identity_; }

 private:
  std::shared_ptr<const Identity> identity_;
};

}  // namespace ochrespring::tls
