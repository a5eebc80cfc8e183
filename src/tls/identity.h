// A TLS identity: certificate chain, private key and the authorities that peers are verified with.
#pragma once

#include <string>

#include "base/time.h"
#include "tls/errc.h"

namespace ochrespring::tls {

/// PEM files of an identity.
struct IdentityFiles {
  std::string certificate;  ///< Leaf first, then its chain.
  std::string private_key;
  std::string authority;  ///< Certificates trusted for peers; may be empty.
};

/// Contents of the files, checked.
struct Identity {
  std::string certificate_pem;
  std::string private_key_pem;
  std::string authority_pem;  ///< Empty if no authority was given.
  std::string subject;        ///< Of the leaf, for logs.
  WallTime not_before;
  WallTime not_after;

  bool operator==(const Identity&) const = default;
};

/// Checks PEM texts: they parse, the key belongs to the certificate, and `now` is within every
/// certificate's validity. Messages name the file from `files`.
Result<Identity, TlsError> check_identity(const IdentityFiles& files, std::string certificate_pem,
                                          std::string private_key_pem, std::string authority_pem,
                                          WallTime now);

/// Text of a PEM file, unchecked.
Result<std::string, TlsError> read_pem_file(const std::string& path);

/// Reads and checks the files.
Result<Identity, TlsError> load_identity(const IdentityFiles& files, WallTime now);

}  // namespace ochrespring::tls
