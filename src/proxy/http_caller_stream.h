// A caller over HTTP: the proxy's CallerStream on the server's ResponseWriter.
#pragma once

#include <memory>
#include <string_view>
#include <utility>

#include "http/server.h"
#include "proxy/backend.h"

namespace ochrespring::proxy {

/// Owned by the request; used on its loop. An answer that was not ended is cut.
class HttpCallerStream final : public CallerStream {
 public:
  explicit HttpCallerStream(std::shared_ptr<http::ResponseWriter> writer)
      : writer_(std::move(writer)) {}
  ~HttpCallerStream() override {
    writer_->on_closed(nullptr);
    writer_->on_drained(nullptr);
    if (!ended_) {
      writer_->abort();
    }
  }
  HttpCallerStream(const HttpCallerStream&) = delete;
  HttpCallerStream& operator=(const HttpCallerStream&) = delete;

  void send_head(const BackendResponseHead& head) override { writer_->send_head(head); }
  void send_body(std::string_view bytes) override { writer_->send_body(bytes); }
  void finish() override {
    ended_ = true;
    writer_->finish();
  }
  void abort() override {
    ended_ = true;
    writer_->abort();
  }
  std::size_t buffered_bytes() const override { return writer_->buffered_bytes(); }

 private:
  std::shared_ptr<http::ResponseWriter> writer_;
  bool ended_ = false;
};

}  // namespace ochrespring::proxy
