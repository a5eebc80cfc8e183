#include "http/errc.h"

namespace ochrespring::http {

std::string_view describe(HttpErrc code) {
  switch (code) {
    case HttpErrc::kAddressInvalid:
      return "address-invalid";
    case HttpErrc::kAddressInUse:
      return "address-in-use";
    case HttpErrc::kTlsInvalid:
      return "tls-invalid";
    case HttpErrc::kConnect:
      return "connect";
    case HttpErrc::kRefused:
      return "refused";
    case HttpErrc::kRelayFailed:
      return "relay-failed";
    case HttpErrc::kRelayRefused:
      return "relay-refused";
    case HttpErrc::kNoPath:
      return "no-path";
    case HttpErrc::kLinkCut:
      return "link-cut";
    case HttpErrc::kReset:
      return "reset";
    case HttpErrc::kStaleConnection:
      return "stale-connection";
    case HttpErrc::kTruncated:
      return "truncated";
    case HttpErrc::kTimeout:
      return "timeout";
    case HttpErrc::kTooLarge:
      return "too-large";
    case HttpErrc::kExpired:
      return "expired";
    case HttpErrc::kWithdrawn:
      return "withdrawn";
    case HttpErrc::kCancelled:
      return "cancelled";
  }
  return "";
}

}  // namespace ochrespring::http
