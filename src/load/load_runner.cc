#include "load/load_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace ochrespring::load {

/// One request from its first sending to its end, over as many nodes as it takes to be sent.
class LoadRunner::Call final : public http::ResponseObserver {
 public:
  Call(LoadRunner& runner, std::uint64_t number, PlannedRequest planned)
      : runner_(runner),
        number_(number),
        planned_(std::move(planned)),
        checker_(planned_.expectation),
        started_(runner.clock_.now()),
        repeats_left_(planned_.expectation.model ? 0 : runner.settings_.repeats),
        repeat_(runner.loop_) {}

  void send() {
    endpoint_ = runner_.pick_endpoint(tried_);
    tried_.insert(endpoint_);
    http::ClientRequest request;
    request.endpoint = endpoint_;
    request.method = "POST";
    request.path = planned_.path;
    request.headers = planned_.headers;
    request.body = planned_.body;
    request.timeout = runner_.settings_.deadline;
    exchange_ = runner_.client_.start(std::move(request), *this);
  }

  void on_head(const http::ResponseHead& head) override {
    checker_.on_head(head, runner_.clock_.now());
  }
  void on_body(std::string_view bytes) override { checker_.on_body(bytes, runner_.clock_.now()); }
  void on_complete() override {
    checker_.on_complete(runner_.clock_.now());
    end_or_repeat();
  }
  void on_failure(const http::HttpError& /*error*/, bool sent) override {
    checker_.on_failure(sent);
    const bool elsewhere = tried_.size() < runner_.settings_.endpoints.size();
    if (!sent && elsewhere) {
      again(Duration::zero());
      return;
    }
    end_or_repeat();
  }

 private:
  void end_or_repeat() {
    // A caller that does not know whether its message went out asks again under the same key.
    if (checker_.outcome() == Outcome::kUnknown && repeats_left_ > 0) {
      --repeats_left_;
      tried_.clear();
      again(runner_.settings_.repeat_after);
      return;
    }
    const bool killed = runner_.settings_.killed.contains(endpoint_);
    runner_.report_.record(checker_, planned_.expectation, started_, killed);
    runner_.call_ended(number_);
  }

  void again(Duration delay) {
    repeat_.arm(delay, [this] {
      checker_ = AnswerChecker(planned_.expectation);
      send();
    });
  }

  LoadRunner& runner_;
  std::uint64_t number_;
  PlannedRequest planned_;
  AnswerChecker checker_;
  MonotonicTime started_;
  std::uint32_t repeats_left_;
  Timer repeat_;
  Endpoint endpoint_;
  std::set<Endpoint> tried_;
  std::unique_ptr<http::Exchange> exchange_;
};

LoadRunner::LoadRunner(http::EventLoop& loop, const Clock& clock, http::Client& client,
                       RunnerSettings settings, workload::Trace trace, GoodLimits limits)
    : loop_(loop),
      clock_(clock),
      client_(client),
      settings_(std::move(settings)),
      trace_(std::move(trace)),
      random_(settings_.seed),
      report_(limits),
      arrival_(loop) {}

LoadRunner::~LoadRunner() = default;

void LoadRunner::start(std::function<void()> done) {
  done_ = std::move(done);
  started_ = clock_.now();
  send_due();
}

void LoadRunner::send_due() {
  while (next_ < trace_.size() && trace_[next_].arrival <= elapsed()) {
    launch(std::make_unique<Call>(*this, next_call_, plan_request(trace_[next_], settings_.plan)));
    ++next_;
  }
  if (next_ < trace_.size()) {
    arrival_.arm(std::max(Duration::zero(), trace_[next_].arrival - elapsed()),
                 [this] { send_due(); });
  }
  check_end();
}

void LoadRunner::launch(std::unique_ptr<Call> call) {
  report_.record_sent();
  Call& started = *call;
  calls_.emplace(next_call_++, std::move(call));
  started.send();
}

Endpoint LoadRunner::pick_endpoint(const std::set<Endpoint>& tried) {
  std::vector<Endpoint> candidates;
  for (const Endpoint& endpoint : settings_.endpoints) {
    if (!tried.contains(endpoint)) {
      candidates.push_back(endpoint);
    }
  }
  const std::vector<Endpoint>& choice = candidates.empty() ? settings_.endpoints : candidates;
  return choice[random_.below(choice.size())];
}

void LoadRunner::call_ended(std::uint64_t number) {
  // The call is on the stack: it goes when the stack has unwound.
  const auto found = calls_.find(number);
  std::shared_ptr<Call> ended = std::move(found->second);
  calls_.erase(found);
  loop_.post([ended = std::move(ended)] {});
  check_end();
}

void LoadRunner::check_end() {
  if (next_ < trace_.size() || !calls_.empty() || !done_) {
    return;
  }
  report_.set_elapsed(elapsed());
  fetch_relay_log(0);
}

void LoadRunner::fetch_relay_log(std::size_t index) {
  if (index == settings_.relays.size()) {
    if (!settings_.relays.empty()) {
      report_.judge_relays(relay_counts_);
    }
    std::exchange(done_, nullptr)();
    return;
  }
  http::ClientRequest request;
  request.endpoint = settings_.relays[index];
  request.path = "/log";
  constexpr std::uint64_t kLargestLog = 256U << 20U;
  client_.fetch(
      std::move(request),
      [this, index](const Result<http::Response, http::FetchFailure>& fetched) {
        if (fetched.has_error() || !add_relay_log(fetched.value().body, relay_counts_)) {
          report_.record_unread_relay();
        }
        fetch_relay_log(index + 1);
      },
      kLargestLog);
}

bool add_relay_log(const std::string& body, RelayCounts& counts) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("keys") || !json["keys"].is_object()) {
    return false;
  }
  for (const auto& [key, runs] : json["keys"].items()) {
    if (!runs.is_number_unsigned()) {
      return false;
    }
    counts[key] += runs.get<std::uint64_t>();
  }
  return true;
}

}  // namespace ochrespring::load
