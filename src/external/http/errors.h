// How HTTP failures and statuses become the platform layer's errors.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "external/errc.h"
#include "http/client.h"

namespace ochrespring::external {

/// Error of an exchange that brought no whole answer: kNotSent only if no byte left.
ExternalError error_of_failure(const http::FetchFailure& failure);

/// Error that an answer with a status outside 200 to 299 stands for. The body's `error` field tells
/// apart what shares a status.
ExternalError error_of_answer(const http::Response& response);

/// Whether a status stands for success.
bool is_success(std::uint16_t status);

/// Turns the end of a fetch into a typed result. `read` makes a T from the answer's JSON and may
/// throw nlohmann::json::exception, which becomes kMalformed.
template <class T, class Reader>
Result<T, ExternalError> read_answer(const Result<http::Response, http::FetchFailure>& fetched,
                                     Reader read) {
  if (fetched.has_error()) {
    return outcome::failure(error_of_failure(fetched.error()));
  }
  const http::Response& response = fetched.value();
  if (!is_success(response.head.status)) {
    return outcome::failure(error_of_answer(response));
  }
  try {
    return T(read(nlohmann::json::parse(response.body)));
  } catch (const nlohmann::json::exception& error) {
    return fail(ExternalErrc::kMalformed, error.what());
  }
}

}  // namespace ochrespring::external
