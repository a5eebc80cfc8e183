// Carries one unary call from gRPC's thread to a handler on the control loop and back.
#pragma once

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <memory>
#include <utility>

#include "operator_api/server_context.h"

namespace ochrespring::operator_api {

/// Status and trailing metadata of a failed call.
grpc::Status to_status(const CallError& error, grpc::CallbackServerContext& context);

/// Who calls, as far as TLS proved it.
Caller caller_of(const grpc::CallbackServerContext& context);

/// Finishes a call once, from any thread; with UNAVAILABLE if it is destroyed before. gRPC's
/// objects vanish when the call is finished, so they are touched only by whoever finishes it.
template <class Response>
class UnaryCompletion final : public AbandonableCall {
 public:
  UnaryCompletion(std::shared_ptr<ServerContext> server, grpc::CallbackServerContext& context,
                  grpc::ServerUnaryReactor& reactor, Response& response)
      : server_(std::move(server)), context_(context), response_(response), reactor_(reactor) {}
  ~UnaryCompletion() override {
    fail(stopping());
    server_->calls.remove(*this);
  }
  UnaryCompletion(const UnaryCompletion&) = delete;
  UnaryCompletion& operator=(const UnaryCompletion&) = delete;

  void abandon() override { fail(stopping()); }

  void succeed(Response response) {
    if (!is_finished_.exchange(true)) {
      response_ = std::move(response);
      reactor_.Finish(grpc::Status::OK);
    }
  }
  void fail(const CallError& error) {
    if (!is_finished_.exchange(true)) {
      reactor_.Finish(to_status(error, context_));
    }
  }

 private:
  std::shared_ptr<ServerContext> server_;
  grpc::CallbackServerContext& context_;
  Response& response_;
  grpc::ServerUnaryReactor& reactor_;
  std::atomic<bool> is_finished_ = false;
};

/// Starts a unary call: `handle(request, caller, reply)` runs on the control loop.
template <class Request, class Response, class Handle>
grpc::ServerUnaryReactor* start_unary_call(const std::shared_ptr<ServerContext>& server,
                                           grpc::CallbackServerContext* context,
                                           const Request* request, Response* response,
                                           Handle handle) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  auto completion =
      std::make_shared<UnaryCompletion<Response>>(server, *context, *reactor, *response);
  server->calls.add(completion);
  if (server->is_stopping) {
    completion->fail(stopping());
    return reactor;
  }
  server->post([server, handle, completion, message = *request, caller = caller_of(*context)] {
    ++server->statistics.calls;
    handle(message, caller, [server, completion](Result<Response, CallError> result) {
      if (result.has_error()) {
        ++server->statistics.failed_calls;
        return completion->fail(result.error());
      }
      completion->succeed(std::move(result).value());
    });
  });
  return reactor;
}

}  // namespace ochrespring::operator_api
