// What each operators' call does, free of gRPC's transport: messages in, messages out, on the
// control loop.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "fleet/mutation.h"
#include "ochrespring/v1/fleet_service.pb.h"
#include "ochrespring/v1/operations_service.pb.h"
#include "operator_api/call_error.h"
#include "operator_api/fleet_admin.h"

namespace ochrespring::operator_api {

/// Who calls.
struct Caller {
  std::string certificate_name;  ///< Common name of the client's certificate; empty without one.
};

/// Completion of a call; runs once, on the control loop, possibly inside the call.
template <class Response>
using Reply = std::function<void(Result<Response, CallError>)>;

/// Handlers of FleetService's calls except Watch.
class FleetHandlers {
 public:
  FleetHandlers(FleetAdmin& admin, const Clock& clock) : admin_(admin), clock_(clock) {}

  void create(const v1::CreateRequest& request, const Caller& caller,
              const Reply<v1::MutationResponse>& reply);
  void update(const v1::UpdateRequest& request, const Caller& caller,
              const Reply<v1::MutationResponse>& reply);
  void remove(const v1::DeleteRequest& request, const Caller& caller,
              const Reply<v1::MutationResponse>& reply);
  void apply(const v1::ApplyRequest& request, const Caller& caller,
             const Reply<v1::MutationResponse>& reply);
  void drain(const v1::DrainRequest& request, const Caller& caller,
             const Reply<v1::MutationResponse>& reply);
  void undrain(const v1::DrainRequest& request, const Caller& caller,
               const Reply<v1::MutationResponse>& reply);
  void get(const v1::GetRequest& request, const Caller& caller,
           const Reply<v1::GetResponse>& reply);
  void list(const v1::ListRequest& request, const Caller& caller,
            const Reply<v1::ListResponse>& reply);
  void history(const v1::HistoryRequest& request, const Caller& caller,
               const Reply<v1::HistoryResponse>& reply);

 private:
  void set_drained(const v1::DrainRequest& request, bool drained, const Caller& caller,
                   const Reply<v1::MutationResponse>& reply);
  /// Commits a command, or only shows its changes.
  void mutate(const v1::MutationHeader& header, fleet::Command command, const Caller& caller,
              const Reply<v1::MutationResponse>& reply);

  FleetAdmin& admin_;
  const Clock& clock_;
};

/// Handlers of OperationsService's calls.
class OperationsHandlers {
 public:
  explicit OperationsHandlers(FleetAdmin& admin) : admin_(admin) {}

  void status(const v1::StatusRequest& request, const Caller& caller,
              const Reply<v1::StatusResponse>& reply);
  void explain_engine(const v1::ExplainEngineRequest& request, const Caller& caller,
                      const Reply<v1::ExplainEngineResponse>& reply);
  void explain_request(const v1::ExplainRequestRequest& request, const Caller& caller,
                       const Reply<v1::ExplainRequestResponse>& reply);

 private:
  FleetAdmin& admin_;
};

}  // namespace ochrespring::operator_api
