// The answer to one completion call on its way out: tokens as server-sent events, or one JSON body.
#pragma once

#include <cstdint>
#include <string>

#include "standin/completion_request.h"
#include "standin/json_answer.h"

namespace ochrespring::standin {

/// Writes an answer's tokens as they are produced. Holds back text while the caller reads slowly:
/// tokens are a function of their offset, so only a count is kept. Used on the loop only.
class CompletionAnswer {
 public:
  CompletionAnswer(const CompletionRequest& request, std::string engine, WriterPointer response);

  /// `tokens_done` tokens of the answer exist now.
  void tokens_ready(std::uint32_t tokens_done);
  /// All tokens exist: ends the answer once the caller has taken them.
  void complete();
  /// The engine lost the request: cuts an answer that has begun; otherwise says nothing ran to its
  /// end.
  void abort();
  /// Whether any byte of the answer has been sent.
  bool begun() const { return begun_; }
  const WriterPointer& response() const { return response_; }
  /// Sends what may be sent; call when the caller has drained its buffer. True when the answer has
  /// ended.
  bool pump();

 private:
  void begin();
  std::string event_start() const;
  std::string event_of(std::uint32_t offset) const;
  std::string whole_answer() const;
  std::string object_name() const;

  CompletionRequest request_;
  std::string engine_;
  WriterPointer response_;
  std::uint64_t prompt_hash_;
  std::string event_start_;  ///< Of every event, up to its offset.
  std::uint32_t ready_ = 0;
  std::uint32_t sent_ = 0;
  bool complete_ = false;
  bool begun_ = false;
  bool ended_ = false;
};

}  // namespace ochrespring::standin
