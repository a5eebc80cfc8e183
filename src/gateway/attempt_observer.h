// Tells the session of a request which of its open attempts an event belongs to.
#pragma once

#include <string_view>

#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

struct Attempt;

/// Receives the events of all exchanges of one request. Nothing follows on_complete() or
/// on_failure() of an attempt.
class AttemptEvents {
 public:
  virtual ~AttemptEvents() = default;
  virtual void on_head(Attempt& attempt, const http::ResponseHead& head) = 0;
  virtual void on_body(Attempt& attempt, std::string_view bytes) = 0;
  virtual void on_complete(Attempt& attempt) = 0;
  virtual void on_failure(Attempt& attempt, const http::HttpError& error, bool sent) = 0;
};

/// Owned by the attempt, which may be destroyed during a call.
class AttemptObserver final : public http::ResponseObserver {
 public:
  AttemptObserver(AttemptEvents& events, Attempt& attempt) : events_(events), attempt_(attempt) {}

  void on_head(const http::ResponseHead& head) override { events_.on_head(attempt_, head); }
  void on_body(std::string_view bytes) override { events_.on_body(attempt_, bytes); }
  void on_complete() override { events_.on_complete(attempt_); }
  void on_failure(const http::HttpError& error, bool sent) override {
    events_.on_failure(attempt_, error, sent);
  }

 private:
  AttemptEvents& events_;
  Attempt& attempt_;
};

}  // namespace ochrespring::gateway
