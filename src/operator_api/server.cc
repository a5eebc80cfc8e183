#include "operator_api/server.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>
#include <vector>

#include "ochrespring/v1/fleet_service.grpc.pb.h"
#include "ochrespring/v1/operations_service.grpc.pb.h"
#include "operator_api/server_credentials.h"
#include "operator_api/unary_call.h"
#include "operator_api/watch_call.h"

namespace ochrespring::operator_api {

namespace {

using Context = grpc::CallbackServerContext;
using Unary = grpc::ServerUnaryReactor;

/// Time gRPC gets to send what was answered when the server is destroyed.
constexpr std::chrono::seconds kShutdownGrace{2};
/// Largest request: an apply of a whole fleet at the size aimed for takes a few megabytes.
constexpr int kLargestMessageBytes = 32 << 20;

/// Binds a handler to the part of the server context that has it.
template <class Handlers, class Request, class Response>
auto bind_handler(Handlers& handlers,
                  void (Handlers::*handle)(const Request&, const Caller&, const Reply<Response>&)) {
  return [&handlers, handle](const Request& request, const Caller& caller,
                             const Reply<Response>& reply) {
    (handlers.*handle)(request, caller, reply);
  };
}

class FleetServiceAdapter final : public v1::FleetService::CallbackService {
 public:
  explicit FleetServiceAdapter(std::shared_ptr<ServerContext> server)
      : server_(std::move(server)) {}

  Unary* Create(Context* context, const v1::CreateRequest* request,
                v1::MutationResponse* response) override {
    return start_mutation(context, request, response, &FleetHandlers::create);
  }
  Unary* Update(Context* context, const v1::UpdateRequest* request,
                v1::MutationResponse* response) override {
    return start_mutation(context, request, response, &FleetHandlers::update);
  }
  Unary* Delete(Context* context, const v1::DeleteRequest* request,
                v1::MutationResponse* response) override {
    return start_mutation(context, request, response, &FleetHandlers::remove);
  }
  Unary* Apply(Context* context, const v1::ApplyRequest* request,
               v1::MutationResponse* response) override {
    return start_mutation(context, request, response, &FleetHandlers::apply);
  }
  Unary* Drain(Context* context, const v1::DrainRequest* request,
               v1::MutationResponse* response) override {
    return start_mutation(context, request, response, &FleetHandlers::drain);
  }
  Unary* Undrain(Context* context, const v1::DrainRequest* request,
                 v1::MutationResponse* response) override {
    return start_mutation(context, request, response, &FleetHandlers::undrain);
  }
  Unary* Get(Context* context, const v1::GetRequest* request, v1::GetResponse* response) override {
    return start(context, request, response, &FleetHandlers::get);
  }
  Unary* List(Context* context, const v1::ListRequest* request,
              v1::ListResponse* response) override {
    return start(context, request, response, &FleetHandlers::list);
  }
  Unary* History(Context* context, const v1::HistoryRequest* request,
                 v1::HistoryResponse* response) override {
    return start(context, request, response, &FleetHandlers::history);
  }
  grpc::ServerWriteReactor<v1::WatchEvent>* Watch(Context* /*context*/,
                                                  const v1::WatchRequest* request) override {
    return WatchCall::start(server_, *request);
  }

 private:
  template <class Request, class Response>
  Unary* start(Context* context, const Request* request, Response* response,
               void (FleetHandlers::*handle)(const Request&, const Caller&,
                                             const Reply<Response>&)) {
    return start_unary_call(server_, context, request, response,
                            bind_handler(server_->fleet, handle));
  }
  template <class Request>
  Unary* start_mutation(Context* context, const Request* request, v1::MutationResponse* response,
                        void (FleetHandlers::*handle)(const Request&, const Caller&,
                                                      const Reply<v1::MutationResponse>&)) {
    auto counted = [server = server_.get(), handle](const Request& message, const Caller& caller,
                                                    const Reply<v1::MutationResponse>& reply) {
      ++server->statistics.mutations;
      (server->fleet.*handle)(message, caller, reply);
    };
    return start_unary_call(server_, context, request, response, std::move(counted));
  }

  std::shared_ptr<ServerContext> server_;
};

class OperationsServiceAdapter final : public v1::OperationsService::CallbackService {
 public:
  explicit OperationsServiceAdapter(std::shared_ptr<ServerContext> server)
      : server_(std::move(server)) {}

  Unary* Status(Context* context, const v1::StatusRequest* request,
                v1::StatusResponse* response) override {
    return start(context, request, response, &OperationsHandlers::status);
  }
  Unary* ExplainEngine(Context* context, const v1::ExplainEngineRequest* request,
                       v1::ExplainEngineResponse* response) override {
    return start(context, request, response, &OperationsHandlers::explain_engine);
  }
  Unary* ExplainRequest(Context* context, const v1::ExplainRequestRequest* request,
                        v1::ExplainRequestResponse* response) override {
    return start(context, request, response, &OperationsHandlers::explain_request);
  }

 private:
  template <class Request, class Response>
  Unary* start(Context* context, const Request* request, Response* response,
               void (OperationsHandlers::*handle)(const Request&, const Caller&,
                                                  const Reply<Response>&)) {
    return start_unary_call(server_, context, request, response,
                            bind_handler(server_->operations, handle));
  }

  std::shared_ptr<ServerContext> server_;
};

Endpoint with_port(const Endpoint& endpoint, int port) {
  const std::string& text = endpoint.value();
  return Endpoint(text.substr(0, text.rfind(':') + 1) + std::to_string(port));
}

}  // namespace

struct Server::State {
  State(std::shared_ptr<ServerContext> server_context, logging::Logger& used_logger)
      : context(std::move(server_context)),
        logger(used_logger),
        fleet_service(context),
        operations_service(context) {}

  std::shared_ptr<ServerContext> context;
  logging::Logger& logger;
  FleetServiceAdapter fleet_service;
  OperationsServiceAdapter operations_service;
  Endpoint endpoint;
  /// gRPC asks these for certificates at each handshake and does not keep them alive.
  std::shared_ptr<grpc::ServerCredentials> credentials;
  std::unique_ptr<grpc::Server> grpc_server;
};

Result<std::unique_ptr<Server>, ServerError> Server::start(const ServerOptions& options,
                                                           FleetAdmin& admin, Post post,
                                                           const Clock& clock,
                                                           logging::Logger& logger) {
  if (options.require_client_certificate &&
      (options.identity == nullptr || options.identity->current()->authority_pem.empty())) {
    return fail(ServerErrc::kTlsUnusable,
                "client certificates are required, and no authority to check them is given");
  }
  auto context =
      std::make_shared<ServerContext>(admin, std::move(post), clock, options.concurrent_watches);
  auto state = std::make_unique<State>(std::move(context), logger);
  state->credentials =
      options.identity == nullptr
          ? grpc::InsecureServerCredentials()
          : make_server_credentials(*options.identity, options.require_client_certificate);
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(kLargestMessageBytes);
  builder.AddListeningPort(options.listen.value(), state->credentials, &port);
  builder.RegisterService(&state->fleet_service);
  builder.RegisterService(&state->operations_service);
  state->grpc_server = builder.BuildAndStart();
  if (state->grpc_server == nullptr || port == 0) {
    return fail(ServerErrc::kAddressUnusable,
                "cannot listen on " + options.listen.value() + " for operators");
  }
  state->endpoint = with_port(options.listen, port);
  logger.write({logging::Level::kInfo,
                "operator_api",
                "listening for operators",
                {{"endpoint", state->endpoint.value()}, {"tls", options.identity != nullptr}}});
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::unique_ptr<State> state) : state_(std::move(state)) {}

Server::~Server() {
  if (state_->grpc_server != nullptr) {
    state_->context->is_stopping = true;
    state_->context->calls.close();
    state_->grpc_server->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
  }
}

const Endpoint& Server::endpoint() const {
  return state_->endpoint;
}

void Server::begin_shutdown() {
  state_->context->is_stopping = true;
  const std::set<WatchCall*> watches = state_->context->watches;
  for (WatchCall* watch : watches) {
    watch->stop();
  }
}

const ServerStatistics& Server::statistics() const {
  return state_->context->statistics;
}

}  // namespace ochrespring::operator_api
