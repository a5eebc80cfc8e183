#include "ctl/client.h"

#include <grpcpp/grpcpp.h>

#include <optional>
#include <thread>
#include <utility>

#include "base/time.h"
#include "ochrespring/v1/errors.pb.h"
#include "ochrespring/v1/fleet_service.grpc.pb.h"
#include "ochrespring/v1/operations_service.grpc.pb.h"
#include "operator_api/call_error.h"
#include "tls/identity.h"

namespace ochrespring::ctl {

namespace {

constexpr int kLargestMessageBytes = 32 << 20;
/// Listings are read again when the document changes between pages, this often.
constexpr int kListingAttempts = 5;

enum class Progress {
  kFinal,           ///< No other node would answer otherwise.
  kNothingChanged,  ///< This attempt had no effect; another node may do better.
  kMaybeChanged,    ///< This attempt may have had its effect.
};

/// What became of one attempt.
struct AttemptFailure {
  Progress progress = Progress::kFinal;
  CallFailure failure;
};

v1::ErrorDetail detail_of(const grpc::ClientContext& context) {
  v1::ErrorDetail detail;
  const auto& metadata = context.GetServerTrailingMetadata();
  const auto entry = metadata.find(operator_api::kErrorDetailKey);
  if (entry != metadata.end()) {
    detail.ParseFromArray(entry->second.data(), static_cast<int>(entry->second.size()));
  }
  return detail;
}

/// Exit code and progress for the reasons that nodes give.
std::pair<ExitCode, Progress> judge(v1::ErrorReason reason, grpc::StatusCode code) {
  switch (reason) {
    case v1::ERROR_REASON_INVALID_FIELD:
      return {ExitCode::kInvalid, Progress::kFinal};
    case v1::ERROR_REASON_NOT_FOUND:
      return {ExitCode::kNotFound, Progress::kFinal};
    case v1::ERROR_REASON_ALREADY_EXISTS:
    case v1::ERROR_REASON_IN_USE:
    case v1::ERROR_REASON_REVISION_MISMATCH:
    case v1::ERROR_REASON_MUTATION_ID_REUSED:
      return {ExitCode::kConflict, Progress::kFinal};
    case v1::ERROR_REASON_RATE_LIMITED:
    case v1::ERROR_REASON_STORE_UNAVAILABLE:
      return {ExitCode::kUnavailable, Progress::kNothingChanged};
    default:
      break;
  }
  // A call under way is also ended as "stopping", and a connection may break after the call was
  // taken: both leave the effect open.
  const bool is_open =
      reason == v1::ERROR_REASON_EFFECT_UNKNOWN || reason == v1::ERROR_REASON_STOPPING ||
      code == grpc::StatusCode::UNAVAILABLE || code == grpc::StatusCode::DEADLINE_EXCEEDED ||
      code == grpc::StatusCode::CANCELLED || code == grpc::StatusCode::UNKNOWN;
  return is_open ? std::pair(ExitCode::kEffectUnknown, Progress::kMaybeChanged)
                 : std::pair(ExitCode::kInternal, Progress::kFinal);
}

AttemptFailure to_failure(const std::string& node, const grpc::Status& status,
                          const grpc::ClientContext& context) {
  const v1::ErrorDetail detail = detail_of(context);
  AttemptFailure attempt;
  std::tie(attempt.failure.exit_code, attempt.progress) =
      judge(detail.reason(), status.error_code());
  const bool is_about_node = attempt.progress != Progress::kFinal;
  attempt.failure.message = (is_about_node ? node + ": " : "") + status.error_message();
  for (const v1::FieldViolation& violation : detail.violations()) {
    attempt.failure.fields.push_back({violation.field(), violation.message(), 0});
  }
  return attempt;
}

/// One node's channel and stubs.
struct Node {
  std::string endpoint;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<v1::FleetService::Stub> fleet;
  std::unique_ptr<v1::OperationsService::Stub> operations;
};

template <class Service, class Request, class Response>
using Method = grpc::Status (Service::Stub::*)(grpc::ClientContext*, const Request&, Response*);

template <class Service>
typename Service::Stub& stub_of(Node& node) {
  if constexpr (std::is_same_v<Service, v1::FleetService>) {
    return *node.fleet;
  } else {
    return *node.operations;
  }
}

CallResult<std::shared_ptr<grpc::ChannelCredentials>> make_credentials(
    const ConnectionOptions& options) {
  if (options.authority_file.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  grpc::SslCredentialsOptions ssl;
  const auto unusable = [](const tls::TlsError& error) {
    return outcome::failure(CallFailure{ExitCode::kInvalid, error.message, {}});
  };
  auto authority = tls::read_pem_file(options.authority_file);
  if (authority.has_error()) {
    return unusable(authority.error());
  }
  ssl.pem_root_certs = authority.value();
  if (!options.certificate_file.empty()) {
    const tls::IdentityFiles files{options.certificate_file, options.private_key_file,
                                   options.authority_file};
    auto identity = tls::load_identity(files, SystemClock().wall_now());
    if (identity.has_error()) {
      return unusable(identity.error());
    }
    ssl.pem_cert_chain = identity.value().certificate_pem;
    ssl.pem_private_key = identity.value().private_key_pem;
  }
  return grpc::SslCredentials(ssl);
}

}  // namespace

struct Client::State {
  ConnectionOptions options;
  std::vector<Node> nodes;

  /// Waits until the node is connected, until an attempt to connect failed, or for the timeout.
  bool connect(Node& node) const {
    const auto deadline = std::chrono::system_clock::now() + options.connect_timeout;
    bool is_trying = false;
    while (true) {
      const grpc_connectivity_state state = node.channel->GetState(true);
      if (state == GRPC_CHANNEL_READY) {
        return true;
      }
      if (state == GRPC_CHANNEL_TRANSIENT_FAILURE && is_trying) {
        return false;
      }
      is_trying = is_trying || state == GRPC_CHANNEL_CONNECTING;
      if (!node.channel->WaitForStateChange(state, deadline)) {
        return false;
      }
    }
  }

  /// One attempt at one node; none if it succeeded.
  template <class Service, class Request, class Response>
  std::optional<AttemptFailure> attempt(Node& node, Method<Service, Request, Response> method,
                                        const Request& request, Response& response) const {
    if (!connect(node)) {
      return AttemptFailure{Progress::kNothingChanged,
                            {ExitCode::kUnavailable, node.endpoint + ": cannot be reached", {}}};
    }
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + options.call_timeout);
    const grpc::Status status = (stub_of<Service>(node).*method)(&context, request, &response);
    return status.ok() ? std::nullopt : std::optional(to_failure(node.endpoint, status, context));
  }

  /// Tries nodes in turn, round after round, until one gives a final answer.
  template <class Service, class Request, class Response>
  CallResult<Response> call(Method<Service, Request, Response> method, const Request& request) {
    AttemptFailure last;
    bool maybe_changed = false;
    auto pause = options.pause;
    for (unsigned round = 0; round < options.rounds; ++round) {
      if (round > 0) {
        std::this_thread::sleep_for(pause);
        pause *= 2;
      }
      for (Node& node : nodes) {
        Response response;
        auto failure = attempt<Service>(node, method, request, response);
        if (!failure) {
          return response;
        }
        last = std::move(*failure);
        if (last.progress == Progress::kFinal) {
          return outcome::failure(std::move(last.failure));
        }
        maybe_changed = maybe_changed || last.progress == Progress::kMaybeChanged;
      }
    }
    last.failure.exit_code = maybe_changed ? ExitCode::kEffectUnknown : ExitCode::kUnavailable;
    return outcome::failure(std::move(last.failure));
  }

  /// A call without effect: what is left open is only that nobody answered.
  template <class Service, class Request, class Response>
  CallResult<Response> read(Method<Service, Request, Response> method, const Request& request) {
    auto result = call<Service>(method, request);
    if (result.has_error() && result.error().exit_code == ExitCode::kEffectUnknown) {
      result.error().exit_code = ExitCode::kUnavailable;
    }
    return result;
  }

  /// Asks every node once, until `accepts` an answer; else the first answer, else the last failure.
  template <class Service, class Request, class Response, class Accepts>
  CallResult<Response> ask_all(Method<Service, Request, Response> method, const Request& request,
                               Accepts accepts) {
    std::optional<Response> first;
    CallFailure failure;
    for (Node& node : nodes) {
      Response response;
      auto failed = attempt<Service>(node, method, request, response);
      if (failed) {
        failure = std::move(failed->failure);
        continue;
      }
      if (accepts(response)) {
        return response;
      }
      if (!first) {
        first = std::move(response);
      }
    }
    if (first) {
      return std::move(*first);
    }
    if (failure.exit_code == ExitCode::kEffectUnknown) {
      failure.exit_code = ExitCode::kUnavailable;
    }
    return outcome::failure(std::move(failure));
  }

  /// Follows one node's watch until it breaks or `on_event` ends it; whether it ended it.
  bool watch(Node& node, bool changes_only,
             const std::function<bool(const v1::WatchEvent&)>& on_event) const {
    v1::WatchRequest request;
    request.set_changes_only(changes_only);
    grpc::ClientContext context;
    const auto stream = node.fleet->Watch(&context, request);
    v1::WatchEvent event;
    while (stream->Read(&event)) {
      if (!on_event(event)) {
        context.TryCancel();
        (void)stream->Finish();
        return true;
      }
    }
    (void)stream->Finish();
    return false;
  }
};

CallResult<std::unique_ptr<Client>> Client::create(const ConnectionOptions& options) {
  BOOST_OUTCOME_TRY(credentials, make_credentials(options));
  auto state = std::make_unique<State>();
  state->options = options;
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kLargestMessageBytes);
  // The library's own retries would hide from this program what certainly did not happen.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  if (!options.server_name.empty()) {
    arguments.SetSslTargetNameOverride(options.server_name);
  }
  for (const std::string& endpoint : options.nodes) {
    Node node;
    node.endpoint = endpoint;
    node.channel = grpc::CreateCustomChannel(endpoint, credentials, arguments);
    node.fleet = v1::FleetService::NewStub(node.channel);
    node.operations = v1::OperationsService::NewStub(node.channel);
    state->nodes.push_back(std::move(node));
  }
  return std::unique_ptr<Client>(new Client(std::move(state)));
}

Client::Client(std::unique_ptr<State> state) : state_(std::move(state)) {}
Client::~Client() = default;

CallResult<v1::MutationResponse> Client::apply(const v1::ApplyRequest& request) {
  return state_->call<v1::FleetService>(&v1::FleetService::Stub::Apply, request);
}

CallResult<v1::MutationResponse> Client::remove(const v1::DeleteRequest& request) {
  return state_->call<v1::FleetService>(&v1::FleetService::Stub::Delete, request);
}

CallResult<v1::MutationResponse> Client::drain(const v1::DrainRequest& request) {
  return state_->call<v1::FleetService>(&v1::FleetService::Stub::Drain, request);
}

CallResult<v1::MutationResponse> Client::undrain(const v1::DrainRequest& request) {
  return state_->call<v1::FleetService>(&v1::FleetService::Stub::Undrain, request);
}

CallResult<v1::GetResponse> Client::get(const v1::GetRequest& request) {
  return state_->read<v1::FleetService>(&v1::FleetService::Stub::Get, request);
}

CallResult<ResourceListing> Client::list(v1::ResourceKind kind) {
  for (int attempt = 0; attempt < kListingAttempts; ++attempt) {
    ResourceListing listing;
    bool is_consistent = true;
    v1::ListRequest request;
    request.set_kind(kind);
    do {
      BOOST_OUTCOME_TRY(page,
                        state_->read<v1::FleetService>(&v1::FleetService::Stub::List, request));
      is_consistent = request.page_token().empty() || page.revision() == listing.revision;
      listing.revision = page.revision();
      listing.resources.insert(listing.resources.end(), page.resources().begin(),
                               page.resources().end());
      request.set_page_token(page.next_page_token());
    } while (is_consistent && !request.page_token().empty());
    if (is_consistent) {
      return listing;
    }
  }
  return outcome::failure(
      CallFailure{ExitCode::kUnavailable, "the fleet changes too fast to be listed", {}});
}

CallResult<v1::HistoryResponse> Client::history(const v1::HistoryRequest& request) {
  return state_->read<v1::FleetService>(&v1::FleetService::Stub::History, request);
}

CallResult<v1::StatusResponse> Client::status() {
  return state_->read<v1::OperationsService>(&v1::OperationsService::Stub::Status,
                                             v1::StatusRequest());
}

CallResult<v1::ExplainEngineResponse> Client::explain_engine(const std::string& engine) {
  v1::ExplainEngineRequest request;
  request.set_engine(engine);
  return state_->ask_all<v1::OperationsService>(
      &v1::OperationsService::Stub::ExplainEngine, request,
      [](const v1::ExplainEngineResponse& response) { return response.decisions_size() > 0; });
}

CallResult<v1::ExplainRequestResponse> Client::explain_request(const std::string& request_id) {
  v1::ExplainRequestRequest request;
  request.set_request_id(request_id);
  return state_->ask_all<v1::OperationsService>(
      &v1::OperationsService::Stub::ExplainRequest, request,
      [](const v1::ExplainRequestResponse&) { return true; });
}

CallResult<void> Client::watch(const std::function<bool(const v1::WatchEvent&)>& on_event) {
  std::uint64_t last_revision = 0;
  const auto pass_on = [&](const v1::WatchEvent& event) {
    // Another node may still be behind the one that was watched before.
    if (event.revision() <= last_revision) {
      return true;
    }
    last_revision = event.revision();
    return on_event(event);
  };
  unsigned failed_rounds = 0;
  auto pause = state_->options.pause;
  while (failed_rounds < state_->options.rounds) {
    bool reached_one = false;
    for (Node& node : state_->nodes) {
      if (!state_->connect(node)) {
        continue;
      }
      reached_one = true;
      if (state_->watch(node, last_revision != 0, pass_on)) {
        return outcome::success();
      }
    }
    failed_rounds = reached_one ? 0 : failed_rounds + 1;
    std::this_thread::sleep_for(pause);
  }
  return outcome::failure(CallFailure{ExitCode::kUnavailable, "no node can be reached", {}});
}

}  // namespace ochrespring::ctl
