// Callers: what they asked for, what came back, and what they make of it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "oracle/observation.h"
#include "proxy/backend.h"
#include "simulation/surroundings.h"

namespace ochrespring::simulation {

/// One request as a caller sends it.
struct CallerRequest {
  RequestId id;
  TenantName tenant;
  std::string path;
  std::string body;
  std::string idempotency_key;  ///< Empty: none.
  bool repeatable = true;       ///< As configured for the service; for the oracle.
  bool completion = false;      ///< The answer's text is inside a completion.
  std::string expected_answer;  ///< Text of the right whole answer.
};

/// One request and what its caller has received. Held by shared_ptr: the caller outlives the node.
class CallerRecord {
 public:
  CallerRecord(CallerRequest request, NodeId node, Surroundings surroundings)
      : request_(std::move(request)), node_(std::move(node)), surroundings_(surroundings) {}

  const CallerRequest& request() const { return request_; }
  const NodeId& node() const { return node_; }
  bool ended() const { return ended_; }

  void on_head(const proxy::BackendResponseHead& head) { head_ = head; }
  void on_body(std::string_view bytes) { body_ += bytes; }
  /// The answer's end is proven.
  void on_finish();
  /// The answer was cut visibly.
  void on_abort();
  /// The caller went away, or its node died under it.
  void on_gone();

 private:
  void end(oracle::AnswerVerdict verdict, std::string answer);

  CallerRequest request_;
  NodeId node_;
  Surroundings surroundings_;
  std::optional<proxy::BackendResponseHead> head_;
  std::string body_;
  bool ended_ = false;
};

/// The node's side of a caller's connection.
class SimulatedCallerStream final : public proxy::CallerStream {
 public:
  /// `hides_unknown` is a planted bug: the caller is told "not run" in place of "unknown".
  SimulatedCallerStream(std::shared_ptr<CallerRecord> record, bool hides_unknown)
      : record_(std::move(record)), hides_unknown_(hides_unknown) {}
  ~SimulatedCallerStream() override;
  SimulatedCallerStream(const SimulatedCallerStream&) = delete;
  SimulatedCallerStream& operator=(const SimulatedCallerStream&) = delete;

  void send_head(const proxy::BackendResponseHead& head) override;
  void send_body(std::string_view bytes) override { record_->on_body(bytes); }
  void finish() override { record_->on_finish(); }
  void abort() override { record_->on_abort(); }
  std::size_t buffered_bytes() const override { return 0; }

 private:
  std::shared_ptr<CallerRecord> record_;
  bool hides_unknown_;
};

}  // namespace ochrespring::simulation
