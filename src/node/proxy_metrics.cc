#include "node/proxy_metrics.h"

#include <string>
#include <vector>

namespace ochrespring::node {

namespace {

/// Samples of one loop.
class LoopSink {
 public:
  LoopSink(metrics::SampleSink& sink, std::uint32_t loop)
      : sink_(sink), loop_(std::to_string(loop)) {}

  void outcome(const char* name, std::uint64_t value) {
    sink_.counter({"requests", "Callers' requests by outcome"}, static_cast<double>(value),
                  {{"loop", loop_}, {"outcome", name}});
  }
  void count(const char* name, const char* help, std::uint64_t value) {
    sink_.counter({name, help}, static_cast<double>(value), {{"loop", loop_}});
  }
  void level(const char* name, const char* help, std::size_t value) {
    sink_.gauge({name, help}, static_cast<double>(value), {{"loop", loop_}});
  }

 private:
  metrics::SampleSink& sink_;
  std::string loop_;
};

}  // namespace

void export_metrics(const WorkerReport& report, metrics::SampleSink& sink) {
  LoopSink loop(sink, report.proxy.loop);
  const proxy::Statistics& values = report.statistics;
  loop.outcome("answered", values.answered);
  loop.outcome("not-run", values.not_run);
  loop.outcome("unknown", values.unknown);
  loop.outcome("cancelled", values.cancelled);
  loop.count("requests_received", "Callers' requests", values.requests);
  loop.count("attempts", "Attempts at back ends", values.attempts);
  loop.count("retries", "Attempts after the first", values.retries);
  loop.count("retries_denied", "Retries given up for want of budget", values.retries_denied);
  loop.count("streams_resumed", "Streams resumed on another engine", values.resumed_streams);
  loop.count("streams_moved", "Streams moved off an engine that is to change",
             values.moved_streams);
  loop.count("crossed_answers", "Answers that carried another request's id",
             values.crossed_answers);
  loop.count("truncated_answers", "Answers without their proven end", values.truncated_answers);
  loop.count("lapsed_grants", "Dispatches given up because the grant was over",
             values.lapsed_grants);
  loop.count("requests_shed", "Requests refused early for load", values.shed);
  loop.count("repeats_answered", "Requests answered from the ledger", values.repeats);
  loop.count("tokens_delivered", "Tokens delivered to callers", values.tokens);
  loop.level("open_requests", "Requests in flight or waiting", report.open_requests);
  loop.level("waiting_requests", "Requests that wait for an engine", report.waiting_requests);
}

}  // namespace ochrespring::node
