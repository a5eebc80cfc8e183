// Calls to the operators' interface of one of several nodes: goes on to the next node when one
// cannot be reached, and settles a lost answer by repeating the call under the same mutation id.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "ctl/exit_code.h"
#include "fleet/errc.h"
#include "ochrespring/v1/fleet_service.pb.h"
#include "ochrespring/v1/operations_service.pb.h"

namespace ochrespring::ctl {

/// How to reach the nodes.
struct ConnectionOptions {
  std::vector<std::string> nodes = {"127.0.0.1:7600"};  ///< Tried in this order.
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds call_timeout{10000};  ///< For one attempt.
  unsigned rounds = 3;  ///< Times the whole list is tried, with growing pauses in between.
  std::chrono::milliseconds pause{200};  ///< Before the second round; doubles each time.
  std::string authority_file;    ///< Certificates that nodes are checked with; turns on TLS.
  std::string certificate_file;  ///< The operator's own certificate, for mutual TLS.
  std::string private_key_file;
  std::string server_name;  ///< Expected in the node's certificate instead of its address.
};

/// Why a call failed, after all nodes and rounds.
struct CallFailure {
  ExitCode exit_code = ExitCode::kInternal;
  std::string message;
  std::vector<fleet::FieldError> fields;  ///< Paths as the node named them, without lines.
};

template <class T>
using CallResult = Result<T, CallFailure>;

/// Resources with the revision they were read at.
struct ResourceListing {
  std::vector<v1::Resource> resources;
  std::uint64_t revision = 0;
};

/// Blocking client. Not thread-safe.
class Client {
 public:
  /// Fails if a TLS file cannot be used; connects lazily.
  static CallResult<std::unique_ptr<Client>> create(const ConnectionOptions& options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  CallResult<v1::MutationResponse> apply(const v1::ApplyRequest& request);
  CallResult<v1::MutationResponse> remove(const v1::DeleteRequest& request);
  CallResult<v1::MutationResponse> drain(const v1::DrainRequest& request);
  CallResult<v1::MutationResponse> undrain(const v1::DrainRequest& request);
  CallResult<v1::GetResponse> get(const v1::GetRequest& request);
  /// All pages of a listing; begins again if the document changed in between.
  CallResult<ResourceListing> list(v1::ResourceKind kind);
  CallResult<v1::HistoryResponse> history(const v1::HistoryRequest& request);
  CallResult<v1::StatusResponse> status();
  /// The answer of the node that has authority over the engine, if it can be reached.
  CallResult<v1::ExplainEngineResponse> explain_engine(const std::string& engine);
  /// The answer of the first node that knows the request.
  CallResult<v1::ExplainRequestResponse> explain_request(const std::string& request);
  /// Follows revisions until `on_event` returns false or no node can be reached.
  CallResult<void> watch(const std::function<bool(const v1::WatchEvent&)>& on_event);

 private:
  struct State;
  explicit Client(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::ctl
