#include "standin/faulty_writer.h"

#include <algorithm>
#include <vector>

namespace ochrespring::standin {

void FaultyWriter::send_head(const http::ResponseHead& head) {
  http::ResponseHead sent = head;
  if (spoils_end()) {
    // A stated length would give the missing part away.
    std::erase_if(sent.headers,
                  [](const http::Header& header) { return header.name == "content-length"; });
  }
  inner_->send_head(sent);
}

void FaultyWriter::send_body(std::string_view bytes) {
  if (ended_) {
    return;
  }
  ++pieces_;
  if (spoils_end()) {
    inner_->send_body(std::exchange(held_, std::string(bytes)));
    if (pieces_ > kWholePieces) {
      end_early();
    }
    return;
  }
  inner_->send_body(bytes);
  if (faults_.double_chunk && pieces_ == 1) {
    inner_->send_body(bytes);
  }
}

void FaultyWriter::end_early() {
  ended_ = true;
  inner_->send_body(std::string_view(held_).substr(0, held_.size() / 2));
  if (faults_.cut_answer) {
    inner_->abort();
  } else {
    inner_->finish();
  }
}

void FaultyWriter::finish() {
  if (ended_) {
    return;
  }
  if (spoils_end()) {
    end_early();
    return;
  }
  ended_ = true;
  inner_->finish();
}

void FaultyWriter::abort() {
  if (!ended_) {
    ended_ = true;
    inner_->abort();
  }
}

std::size_t FaultyWriter::buffered_bytes() const {
  return ended_ ? 0 : inner_->buffered_bytes();
}

bool FaultyWriter::closed() const {
  return !ended_ && inner_->closed();
}

void FaultyWriter::on_closed(std::function<void()> callback) {
  inner_->on_closed(std::move(callback));
}

void FaultyWriter::on_drained(std::function<void()> callback) {
  inner_->on_drained(std::move(callback));
}

void DiscardingWriter::end() {
  if (done_) {
    std::exchange(done_, nullptr)();
  }
}

}  // namespace ochrespring::standin
