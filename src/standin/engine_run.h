// One completion inside an engine stand-in, from acceptance to its end.
#pragma once

#include <functional>
#include <string>

#include "standin/engine_front.h"

namespace ochrespring::standin {

/// Owned by its front; ends itself through `end`, after which it does not exist.
class EngineFront::Run final : public SequenceObserver {
 public:
  Run(EngineFront& front, SequenceId sequence, const CompletionRequest& request,
      const WriterPointer& response);

  const CompletionRequest& request() const { return request_; }
  /// What another engine names to fetch the KV cache.
  const std::string& handle() const { return handle_; }
  SequenceId sequence() const { return sequence_; }
  /// Stops the work: the caller gave up or its time is over.
  void cancel();
  void stop_timers() { deadline_.disarm(); }
  /// The KV cache has left; nothing more will come of this run.
  void exported();

  void on_tokens(std::uint32_t tokens_done) override { answer_.tokens_ready(tokens_done); }
  void on_prefilled() override;
  void on_finished(std::uint32_t tokens_done) override;
  void on_dropped() override;

 private:
  void on_deadline();
  void on_drained();

  EngineFront& front_;
  SequenceId sequence_;
  CompletionRequest request_;
  std::string handle_;
  CompletionAnswer answer_;
  Timer deadline_;
  bool finished_ = false;  ///< The engine is done; the caller has not taken everything yet.
};

}  // namespace ochrespring::standin
