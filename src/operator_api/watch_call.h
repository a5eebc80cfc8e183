// One open Watch: sends what changed since the last event whenever the stream can take more.
#pragma once

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <memory>

#include "ochrespring/v1/fleet_service.pb.h"
#include "operator_api/server_context.h"

namespace ochrespring::operator_api {

/// Keeps two documents at most, so that a slow reader costs no queue: revisions it is too slow for
/// are folded into the next event. Lives until gRPC is done with it. All state is used on the
/// control loop, except that whoever sets `is_finished_` first ends the stream; gRPC's threads only
/// post.
class WatchCall final : public grpc::ServerWriteReactor<v1::WatchEvent>,
                        public RevisionObserver,
                        public AbandonableCall {
 public:
  /// Starts a watch; called on gRPC's thread.
  static WatchCall* start(const std::shared_ptr<ServerContext>& server,
                          const v1::WatchRequest& request);

  /// Ends the watch because the node is stopping. On the control loop.
  void stop();
  void abandon() override;

 private:
  WatchCall(std::shared_ptr<ServerContext> server, bool changes_only);

  void OnWriteDone(bool ok) override;
  void OnCancel() override;
  void OnDone() override;
  void on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) override;

  void open();
  void send_next();
  void finish(const grpc::Status& status);
  /// Ends the stream if nobody has.
  void finish_stream(const grpc::Status& status);
  /// Runs a step on the control loop.
  void post(void (WatchCall::*step)());
  void on_written();
  void on_write_failed();
  void on_cancelled();

  std::shared_ptr<ServerContext> server_;
  bool changes_only_;
  std::shared_ptr<const fleet::FleetDocument> sent_;
  std::shared_ptr<const fleet::FleetDocument> latest_;
  v1::WatchEvent event_;
  bool is_writing_ = false;
  bool is_subscribed_ = false;
  std::atomic<bool> is_finished_ = false;
  std::shared_ptr<WatchCall> self_;  ///< Released when gRPC is done; posted steps hold their own.
};

}  // namespace ochrespring::operator_api
