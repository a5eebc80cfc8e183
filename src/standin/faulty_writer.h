// Writers that spoil an answer on its way out, as the fault settings demand.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/server.h"
#include "standin/faults.h"

namespace ochrespring::standin {

/// Hands an answer on to `inner` with faults in it: ended early, cut, or with a piece doubled. The
/// handler behind it notices nothing.
class FaultyWriter final : public http::ResponseWriter {
 public:
  FaultyWriter(std::shared_ptr<http::ResponseWriter> inner, const CallFaults& faults)
      : inner_(std::move(inner)), faults_(faults) {}

  void send_head(const http::ResponseHead& head) override;
  void send_body(std::string_view bytes) override;
  void finish() override;
  void abort() override;
  std::size_t buffered_bytes() const override;
  bool closed() const override;
  bool poll_closed() const override { return inner_->poll_closed(); }
  void on_closed(std::function<void()> callback) override;
  void on_drained(std::function<void()> callback) override;

 private:
  /// Pieces of body handed on whole before an answer is truncated or cut.
  static constexpr std::uint32_t kWholePieces = 3;

  bool spoils_end() const { return faults_.truncate_answer || faults_.cut_answer; }
  void end_early();

  std::shared_ptr<http::ResponseWriter> inner_;
  CallFaults faults_;
  std::uint32_t pieces_ = 0;
  std::string held_;    ///< Newest piece while the end is to be spoilt.
  bool ended_ = false;  ///< Nothing more reaches the caller.
};

/// A writer that drops everything: an answer whose caller is never told.
class DiscardingWriter final : public http::ResponseWriter {
 public:
  /// `done` runs once, when the handler has finished or given up.
  explicit DiscardingWriter(std::function<void()> done) : done_(std::move(done)) {}

  void send_head(const http::ResponseHead& /*head*/) override {}
  void send_body(std::string_view /*bytes*/) override {}
  void finish() override { end(); }
  void abort() override { end(); }
  std::size_t buffered_bytes() const override { return 0; }
  bool closed() const override { return false; }
  bool poll_closed() const override { return false; }
  void on_closed(std::function<void()> /*callback*/) override {}
  void on_drained(std::function<void()> /*callback*/) override {}

 private:
  void end();

  std::function<void()> done_;
};

}  // namespace ochrespring::standin
