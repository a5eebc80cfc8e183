// Names of the headers by which callers, the gateway and back ends tell each other what HTTP itself
// does not. A site with names of its own passes them in; all names are lower case.
#pragma once

#include <string>
#include <vector>

namespace ochrespring::gateway {

struct HeaderNames {
  std::string request_id = "x-request-id";
  std::string deadline = "x-deadline-ms";  ///< Milliseconds the caller will wait.
  std::string not_run = "x-ochrespring-not-run";
  std::string signature = "x-ochrespring-signature";  ///< On every answer that a back end ran for.
  std::string expected_instance = "x-ochrespring-expected-instance";
  std::string load = "x-ochrespring-load";  ///< Running, waiting and slots, joined by commas.
  /// Requests a second that a back end in need takes from all nodes together, a decimal number.
  std::string rate_limit = "x-ochrespring-rate-limit";
  /// Seconds, in a 503: the back end wants nothing from this node for so long.
  std::string retry_after = "retry-after";
  std::string leaving = "x-ochrespring-leaving";            ///< `1`: the back end ends soon.
  std::string prompt_parts = "x-ochrespring-prompt-parts";  ///< ID:TOKENS, joined by commas.
  std::string token_counts = "x-ochrespring-token-counts";  ///< Prompt and most output.
  /// The caller's estimate of the output in tokens, right at the median and often far off.
  std::string output_estimate = "x-ochrespring-output-estimate";
  std::string priority = "x-ochrespring-priority";  ///< 0 to 9, 0 first.
  std::string phase = "x-ochrespring-phase";
  std::string phase_prefill = "prefill";  ///< Value of `phase`: read the prompt, do not run.
  std::string cache_source = "x-ochrespring-cache-source";  ///< IP:PORT/HANDLE.
  /// IP:PORT of an engine to take cached parts from before reading.
  std::string cache_fetch = "x-ochrespring-cache-fetch";
  /// IP:PORT of an engine that a run's memory is copied to as it grows.
  std::string cache_backup = "x-ochrespring-cache-backup";
  std::string last_event = "last-event-id";
  std::string credentials = "authorization";
  std::string tenant = "x-ochrespring-tenant";  ///< Whose request a back end runs.
  /// Headers that only the gateway may set; a caller's are dropped.
  std::vector<std::string> reserved;
};

}  // namespace ochrespring::gateway
