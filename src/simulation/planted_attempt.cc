#include "simulation/planted_attempt.h"

#include <string>
#include <utility>

#include "proxy/headers.h"

namespace ochrespring::simulation {

using proxy::AttemptFailure;
using proxy::Outcome;

namespace {

constexpr std::string_view kTerminalEvent = "data: [DONE]\n\n";

/// Replaces every occurrence of `from` in `text`.
std::string replaced(std::string text, std::string_view from, std::string_view to) {
  for (std::size_t at = text.find(from); !from.empty() && at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

/// Stands between an exchange and the proxy, and lies to the proxy.
class PlantedAttempt final : public proxy::Attempt, private proxy::AttemptObserver {
 public:
  PlantedAttempt(Plant plant, const ExchangeContext& context, BackendHost* host,
                 proxy::BackendRequest request, proxy::AttemptObserver& observer)
      : plant_(plant), id_(request.id), observer_(observer) {
    exchange_ = start_exchange(context, host, std::move(request), *this);
  }

  void set_reading(bool reading) override { exchange_->set_reading(reading); }

 private:
  void on_head(const proxy::BackendResponseHead& head) override {
    proxy::BackendResponseHead seen = head;
    if (plant_ == Plant::kRequestIdNotChecked) {
      other_id_ = std::string(http::find_header(head.headers, proxy::header::kRequestId));
      for (proxy::Header& header : seen.headers) {
        if (header.name == proxy::header::kRequestId) {
          header.value = id_.value();
        }
      }
    }
    streaming_ =
        http::find_header(head.headers, proxy::header::kContentType) == "text/event-stream";
    observer_.on_head(seen);
  }

  void on_body(std::string_view bytes) override {
    std::string seen(bytes);
    if (plant_ == Plant::kRequestIdNotChecked) {
      seen = replaced(std::move(seen), other_id_, id_.value());
      seen = replaced(std::move(seen), "other-" + id_.value(), id_.value());
    }
    terminal_seen_ = terminal_seen_ || seen.ends_with(kTerminalEvent);
    body_seen_ = true;
    observer_.on_body(seen);
  }

  void on_complete() override {
    if (plant_ == Plant::kEndNotChecked && streaming_ && !terminal_seen_) {
      observer_.on_body(kTerminalEvent);
    }
    observer_.on_complete();
  }

  void on_failure(AttemptFailure failure, Outcome outcome) override {
    if (plant_ == Plant::kEndNotChecked && body_seen_) {
      on_complete();
      return;
    }
    if (plant_ == Plant::kUnknownReportedAsNotRun) {
      outcome = Outcome::kNotRun;
    }
    observer_.on_failure(failure, outcome);
  }

  Plant plant_;
  RequestId id_;
  proxy::AttemptObserver& observer_;
  std::unique_ptr<proxy::Attempt> exchange_;
  std::string other_id_;
  bool streaming_ = false;
  bool terminal_seen_ = false;
  bool body_seen_ = false;
};

}  // namespace

bool breaks_attempts(Plant plant) {
  return plant == Plant::kRequestIdNotChecked || plant == Plant::kEndNotChecked ||
         plant == Plant::kUnknownReportedAsNotRun;
}

std::unique_ptr<proxy::Attempt> start_planted_attempt(Plant plant, const ExchangeContext& context,
                                                      BackendHost* host,
                                                      proxy::BackendRequest request,
                                                      proxy::AttemptObserver& observer) {
  return std::make_unique<PlantedAttempt>(plant, context, host, std::move(request), observer);
}

}  // namespace ochrespring::simulation
