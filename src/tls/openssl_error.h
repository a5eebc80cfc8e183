// OpenSSL's error queue as text; internal to the TLS layer.
#pragma once

#include <openssl/err.h>

#include <array>
#include <string>

namespace ochrespring::tls {

/// Takes the oldest error from this thread's queue and empties it.
inline std::string take_openssl_error() {
  const unsigned long code = ERR_get_error();
  ERR_clear_error();
  if (code == 0) {
    return "no further detail";
  }
  std::array<char, 256> text{};
  ERR_error_string_n(code, text.data(), text.size());
  return text.data();
}

}  // namespace ochrespring::tls
