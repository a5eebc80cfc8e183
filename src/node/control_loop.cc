#include "node/control_loop.h"

#include <chrono>
#include <string>
#include <utility>

#include "node/control_metrics.h"

namespace ochrespring::node {

namespace {

/// Machine list of a site that has none: it never names a machine.
class NoMachineList final : public external::MachineList {
 public:
  explicit NoMachineList(TimerService& timers) : timers_(timers) {}
  void list(external::ExternalCallback<std::vector<external::Machine>> done) override {
    timers_.schedule_after(Duration::zero(), [done = std::move(done)] {
      done(fail(external::ExternalErrc::kNotSent, "no machine list is configured"));
    });
  }

 private:
  TimerService& timers_;
};

/// Later processes of a node must have higher incarnations; nothing is kept but the wall clock.
Incarnation incarnation_from(const Clock& clock) {
  const auto since_epoch = clock.wall_now().time_since_epoch();
  const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch);
  return Incarnation(static_cast<std::uint64_t>(microseconds.count()));
}

external::HttpKeyValueSettings key_value_settings(const settings::NodeSettings& settings) {
  external::HttpKeyValueSettings result;
  result.endpoint = settings.key_value_store;
  return result;
}

std::unique_ptr<external::MachineList> make_machine_list(const settings::NodeSettings& settings,
                                                         http::Client& client,
                                                         TimerService& timers) {
  if (settings.machine_list.empty()) {
    return std::make_unique<NoMachineList>(timers);
  }
  return std::make_unique<external::HttpMachineList>(client, settings.machine_list);
}

/// Logs a failed reload; the identity in use stays.
void reload(const std::unique_ptr<tls::IdentityReloader>& identity, logging::Logger& logger) {
  if (!identity) {
    return;
  }
  const auto result = identity->reload();
  if (!result) {
    logger.write({logging::Level::kError, "node", result.error().message, {}});
  }
}

}  // namespace

ControlLoop::ControlLoop(const settings::NodeSettings& settings, const Clock& clock,
                         logging::Logger& logger)
    : settings_(settings),
      clock_(clock),
      logger_(logger),
      random_(entropy_seed()),
      client_(loop_),
      key_value_store_(client_, loop_, random_, key_value_settings(settings)),
      machine_list_(make_machine_list(settings, client_, loop_)),
      engine_control_(client_),
      report_([this] { return readiness(); }) {}

ControlLoop::~ControlLoop() {
  if (operator_server_) {
    operator_server_->begin_shutdown();
  }
}

Result<void, NodeError> ControlLoop::bind() {
  BOOST_OUTCOME_TRY(identities, load_identities(settings_, loop_, clock_, logger_));
  identities_ = std::move(identities);
  BOOST_OUTCOME_TRY(bind_peers());
  build_plane();
  BOOST_OUTCOME_TRY(bind_admin());
  BOOST_OUTCOME_TRY(bind_operators());
  add_collectors();
  return outcome::success();
}

Result<void, NodeError> ControlLoop::bind_peers() {
  peer::TcpTransportSettings transport;
  transport.listen = settings_.peer_listen;
  transport.advertise = settings_.peer_advertise;
  transport.cluster = settings_.cluster;
  transport.queue_bytes = settings_.peer_queue_bytes;
  transport.identity = identities_.peers.get();
  transport_ = std::make_unique<peer::TcpTransport>(loop_, random_, std::move(transport));
  const auto bound = transport_->listen(
      [this](const Endpoint& from, peer::Channel channel, std::string_view payload) {
        plane_->on_message(from, channel, payload);
      });
  if (!bound) {
    return fail(NodeErrc::kAddress, "peer-listen: " + bound.error().message);
  }
  if (identities_.peers) {
    identities_.peers->set_observer([this](const auto& /*identity*/) {
      const auto taken = transport_->refresh_identity();
      if (!taken) {
        logger_.write({logging::Level::kError, "node", taken.error().message, {}});
      }
    });
  }
  return outcome::success();
}

void ControlLoop::build_plane() {
  control_plane::ControlPlaneSettings plane;
  plane.node = settings_.node;
  plane.zone = settings_.zone;
  plane.region = settings_.region;
  plane.peer = transport_->advertised();
  plane.seeds = settings_.seeds;
  plane.incarnation = incarnation_from(clock_);
  plane.proxy_loops = settings_.proxy_loops;
  plane_ = std::make_unique<control_plane::ControlPlane>(
      control_plane::ControlPlaneEnvironment{clock_, loop_, random_, *transport_, key_value_store_,
                                             *machine_list_, engine_control_, logger_},
      std::move(plane));
}

Result<void, NodeError> ControlLoop::bind_admin() {
  http::ServerSettings server;
  server.listen = settings_.admin_listen;
  admin_server_ = std::make_unique<http::Server>(loop_, std::move(server));
  add_admin_pages(
      *admin_server_, [this] { return report_(); }, metrics_);
  const auto bound = admin_server_->listen();
  if (!bound) {
    return fail(NodeErrc::kAddress, "admin-listen: " + bound.error().message);
  }
  return outcome::success();
}

Result<void, NodeError> ControlLoop::bind_operators() {
  operator_api::ServerOptions options;
  options.listen = settings_.operator_listen;
  options.identity = identities_.operators.get();
  options.require_client_certificate =
      settings_.operator_tls && !settings_.operator_tls->authority.empty();
  auto server = operator_api::Server::start(
      options, plane_->admin(), [this](std::function<void()> task) { loop_.post(std::move(task)); },
      clock_, logger_);
  if (!server) {
    return fail(NodeErrc::kAddress, "operator-listen: " + server.error().message);
  }
  operator_server_ = std::move(server).value();
  return outcome::success();
}

void ControlLoop::add_collectors() {
  metrics_.add([this](metrics::SampleSink& sink) { export_metrics(plane_->statistics(), sink); });
  metrics_.add([this](metrics::SampleSink& sink) {
    export_metrics(transport_->statistics(), transport_->queued_bytes(), sink);
  });
  metrics_.add([this](metrics::SampleSink& sink) {
    const ReadinessReport report = report_();
    sink.gauge({"members", "Members not known dead"}, static_cast<double>(report.members));
    sink.gauge({"config_revision", "Revision of the configuration in force"},
               static_cast<double>(report.revision.value()));
    sink.gauge({"ready", "1 while the node takes requests"},
               report.phase == NodePhase::kReady ? 1 : 0);
  });
}

void ControlLoop::start(control_plane::FleetViewObserver& observer) {
  plane_->start(observer);
}

void ControlLoop::stop_operators() {
  operator_server_->begin_shutdown();
}

void ControlLoop::reload_certificates() {
  reload(identities_.operators, logger_);
  reload(identities_.peers, logger_);
}

ReadinessReport ControlLoop::readiness() const {
  ReadinessReport report;
  report.phase = plane_->ready() ? NodePhase::kReady : NodePhase::kStarting;
  report.node = settings_.node;
  report.revision = plane_->admin().document()->revision;
  report.members = plane_->members().members().size();
  report.operators = operator_server_->endpoint();
  report.admin = admin_server_->bound();
  report.peers = transport_->bound();
  return report;
}

}  // namespace ochrespring::node
