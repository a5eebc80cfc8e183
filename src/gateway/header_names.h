// Names of the headers that callers, the gateway and back ends exchange in addition to those of
// HTTP. A deployment may use other names; all names are in lower case.
#pragma once

#include <string>
#include <vector>

namespace ochrespring::gateway {

/// Names of these headers, and the value of `phase`.
struct HeaderNames {
  std::string request_id = "x-request-id";
  std::string deadline = "x-deadline-ms";  ///< Milliseconds that the caller waits.
  /// In a response: the request did not run at the back end and will not.
  std::string not_run = "x-ochrespring-not-run";
  /// In every response to a request that a back end ran.
  std::string signature = "x-ochrespring-signature";
  /// Back end for which a request is meant; another one answers 421.
  std::string expected_instance = "x-ochrespring-expected-instance";
  /// Running requests, waiting requests, and slots, separated by commas.
  std::string load = "x-ochrespring-load";
  /// Requests per second that an overloaded back end accepts from all nodes together, a decimal
  /// number.
  std::string rate_limit = "x-ochrespring-rate-limit";
  /// In a 503 response: seconds for which the back end wants no requests from this node.
  std::string retry_after = "retry-after";
  std::string leaving = "x-ochrespring-leaving";  ///< `1`: the back end will terminate soon.
  std::string prompt_parts = "x-ochrespring-prompt-parts";  ///< ID:TOKENS, separated by commas.
  /// Tokens of the prompt and maximum output tokens.
  std::string token_counts = "x-ochrespring-token-counts";
  /// The caller's estimate of the output tokens; accurate at the median, often far off.
  std::string output_estimate = "x-ochrespring-output-estimate";
  std::string priority = "x-ochrespring-priority";  ///< 0 to 9; 0 is the most urgent.
  std::string phase = "x-ochrespring-phase";
  std::string phase_prefill = "prefill";  ///< Value of `phase`: prefill only.
  /// IP:PORT/HANDLE of the KV cache that a prefill engine has created for the request.
  std::string cache_source = "x-ochrespring-cache-source";
  /// IP:PORT of an engine from which to fetch cached parts before the prefill.
  std::string cache_fetch = "x-ochrespring-cache-fetch";
  /// IP:PORT of an engine to which the KV cache of a stream is replicated as it grows.
  std::string cache_backup = "x-ochrespring-cache-backup";
  std::string last_event = "last-event-id";
  /// Id of the caller's attempt that brought the first event of the stream that a request takes up.
  std::string resumed_attempt = "x-ochrespring-resumed-attempt";
  std::string credentials = "authorization";
  std::string tenant = "x-ochrespring-tenant";  ///< Tenant whose request the back end runs.
  /// Headers that only the gateway may set; they are removed from callers' requests.
  std::vector<std::string> reserved;
};

}  // namespace ochrespring::gateway
