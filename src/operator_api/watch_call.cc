#include "operator_api/watch_call.h"

#include <utility>

#include "fleet/diff.h"
#include "operator_api/proto_resources.h"

namespace ochrespring::operator_api {

WatchCall* WatchCall::start(const std::shared_ptr<ServerContext>& server,
                            const v1::WatchRequest& request) {
  std::shared_ptr<WatchCall> call(new WatchCall(server, request.changes_only()));
  call->self_ = call;
  server->calls.add(call);
  call->post(&WatchCall::open);
  return call.get();
}

WatchCall::WatchCall(std::shared_ptr<ServerContext> server, bool changes_only)
    : server_(std::move(server)), changes_only_(changes_only) {}

void WatchCall::post(void (WatchCall::*step)()) {
  server_->post([call = self_, step] { (call.get()->*step)(); });
}

void WatchCall::OnWriteDone(bool ok) {
  post(ok ? &WatchCall::on_written : &WatchCall::on_write_failed);
}

void WatchCall::OnCancel() {
  post(&WatchCall::on_cancelled);
}

void WatchCall::OnDone() {
  server_->calls.remove(*this);
  self_.reset();
}

void WatchCall::open() {
  ++server_->statistics.calls;
  if (is_finished_) {
    return;
  }
  if (server_->is_stopping) {
    return stop();
  }
  if (server_->watches.size() >= server_->concurrent_watches) {
    return finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many watches are open"});
  }
  server_->watches.insert(this);
  server_->statistics.watches = server_->watches.size();
  server_->admin.add_observer(*this);
  is_subscribed_ = true;
  latest_ = server_->admin.document();
  sent_ = changes_only_ ? latest_ : std::make_shared<const fleet::FleetDocument>();
  send_next();
}

void WatchCall::on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) {
  latest_ = document;
  send_next();
}

void WatchCall::send_next() {
  if (is_writing_ || is_finished_ || sent_->revision == latest_->revision) {
    return;
  }
  event_.Clear();
  event_.set_revision(latest_->revision.value());
  event_.set_previous_revision(sent_->revision.value());
  for (const fleet::ResourceChange& change : fleet::diff(*sent_, *latest_)) {
    to_proto(change, *event_.add_changes());
  }
  sent_ = latest_;
  is_writing_ = true;
  StartWrite(&event_);
}

void WatchCall::on_written() {
  is_writing_ = false;
  send_next();
}

void WatchCall::on_write_failed() {
  is_writing_ = false;
  finish({grpc::StatusCode::CANCELLED, "the stream is broken"});
}

void WatchCall::on_cancelled() {
  finish({grpc::StatusCode::CANCELLED, "cancelled by the client"});
}

void WatchCall::stop() {
  finish({grpc::StatusCode::UNAVAILABLE, stopping().message});
}

void WatchCall::abandon() {
  finish_stream({grpc::StatusCode::UNAVAILABLE, stopping().message});
}

void WatchCall::finish(const grpc::Status& status) {
  if (is_subscribed_) {
    server_->admin.remove_observer(*this);
    is_subscribed_ = false;
    server_->watches.erase(this);
    server_->statistics.watches = server_->watches.size();
  }
  finish_stream(status);
}

void WatchCall::finish_stream(const grpc::Status& status) {
  if (!is_finished_.exchange(true)) {
    Finish(status);
  }
}

}  // namespace ochrespring::operator_api
