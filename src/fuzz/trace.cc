#include "fuzz/trace.h"

#include <iomanip>
#include <map>
#include <memory>
#include <variant>

namespace ochrespring::fuzz {
namespace {

/// Writes one kind of observation each.
class Printer {
 public:
  explicit Printer(std::ostream& out) : out_(out) {}

  void print(MonotonicTime at, const oracle::Observation& observation) {
    at_ = at;
    std::visit([this](const auto& event) { write(event); }, observation);
  }

 private:
  std::ostream& begin() {
    return out_ << std::fixed << std::setprecision(4) << to_seconds(at_.time_since_epoch()) << " ";
  }
  std::ostream& time(MonotonicTime moment) { return out_ << to_seconds(moment.time_since_epoch()); }

  void write(const oracle::OrderTaken& order) {
    begin() << "order-taken " << order.engine << "#" << order.incarnation << " (" << order.epoch
            << "," << order.sequence << ") " << order.content << " from " << order.sender
            << " sent ";
    time(order.sent) << "\n";
  }
  void write(const oracle::OrderEnded& order) {
    begin() << "order-ended " << order.engine << " (" << order.epoch << "," << order.sequence
            << ")\n";
  }
  void write(const oracle::EngineRestarted& restart) {
    begin() << "engine-restarted " << restart.engine << "#" << restart.incarnation
            << (restart.forgot_fence ? " forgot its fence" : "") << "\n";
  }
  void write(const oracle::RunStarted& run) {
    begin() << "run " << run.request << " key=" << run.idempotency_key << " on " << run.backend
            << " sent ";
    time(run.sent) << "\n";
  }
  void write(const oracle::RunCut& cut) {
    begin() << "run-cut " << cut.request << " on " << cut.backend
            << (cut.cause == oracle::CutCause::kPlannedChange ? " by an order" : " by a fault")
            << "\n";
  }
  void write(const oracle::RequestSubmitted& request) {
    begin() << "submitted " << request.request << " key=" << request.idempotency_key << " at "
            << request.node << "\n";
  }
  void write(const oracle::RequestEnded& end) {
    static constexpr const char* kVerdicts[] = {"whole", "not-run", "unknown", "gone"};
    begin() << "ended " << end.request << " " << kVerdicts[static_cast<std::size_t>(end.verdict)]
            << "\n";
  }
  void write(const oracle::BackendLeaving& change) {
    begin() << "backend " << change.backend << (change.leaving ? " leaving" : " back") << "\n";
  }
  void write(const oracle::NodeStarted& start) {
    begin() << "node-started " << start.node << "#" << start.incarnation << "\n";
  }
  void write(const oracle::NodeStopped& stop) {
    begin() << "node-stopped " << stop.node << (stop.planned ? " as planned" : " by a kill")
            << ", open " << stop.open_requests.size() << "\n";
  }
  void write(const oracle::NodeReachable& change) {
    begin() << "node " << change.node << (change.reachable ? " reachable" : " disturbed") << "\n";
  }
  void write(const oracle::RevisionInForce& sample) {
    if (std::exchange(revisions_[sample.node], sample.revision) != sample.revision) {
      begin() << "in-force " << sample.node << " revision " << sample.revision << "\n";
    }
  }
  void write(const oracle::MutationAccepted& accepted) {
    begin() << "accepted " << accepted.mutation << " as revision " << accepted.revision << "\n";
  }
  void write(const oracle::Quiescent& /*end*/) { begin() << "quiescent\n"; }

  std::ostream& out_;
  MonotonicTime at_;
  std::map<NodeId, Revision> revisions_;
};

}  // namespace

ObservationTrace print_trace(std::ostream& out) {
  return [printer = std::make_shared<Printer>(out)](MonotonicTime at,
                                                    const oracle::Observation& observation) {
    printer->print(at, observation);
  };
}

}  // namespace ochrespring::fuzz
