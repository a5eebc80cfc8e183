// Records the response to one request of a test and stops the loop when it ends.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/client.h"

namespace ochrespring::http::testing {

struct RecordedResponse final : ResponseObserver {
  explicit RecordedResponse(EventLoop& event_loop) : loop(event_loop) {}
  void on_head(const ResponseHead& head) override {
    status = head.status;
    headers = head.headers;
  }
  void on_body(std::string_view bytes) override {
    body.append(bytes);
    if (after_body) {
      after_body();
    }
  }
  void on_complete() override {
    complete = true;
    loop.stop();
  }
  void on_failure(const HttpError& failure, bool was_sent) override {
    error = failure.code;
    sent = was_sent;
    loop.stop();
  }

  EventLoop& loop;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool complete = false;
  bool sent = false;
  std::optional<HttpErrc> error;
  std::function<void()> after_body;
};

}  // namespace ochrespring::http::testing
