#include "proxy/token_events.h"

#include <nlohmann/json.hpp>

namespace ochrespring::proxy {

namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";
/// Longest event taken; an engine that sends more without an end is broken.
constexpr std::size_t kLargestEventBytes = 1U << 20U;

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

/// Collects the two members the proxy looks at, without building a document. Views stay valid
/// while `id_text` lives.
class MemberReader final : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t value) override {
    if (depth_ == 1 && key_ == Key::kOffset) {
      offset = value;
    }
    return true;
  }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& value) override {
    if (depth_ == 1 && key_ == Key::kId) {
      id_text = std::move(value);
    }
    return true;
  }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override {
    ++depth_;
    return true;
  }
  bool key(string_t& value) override {
    if (depth_ == 1) {
      key_ = value == "offset" ? Key::kOffset : value == "id" ? Key::kId : Key::kNone;
    }
    return true;
  }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(std::size_t /*size*/) override {
    ++depth_;
    return true;
  }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

  std::optional<std::uint64_t> offset;
  std::string id_text;

 private:
  enum class Key : std::uint8_t { kNone, kOffset, kId };
  Key key_ = Key::kNone;
  int depth_ = 0;
};

}  // namespace

ParseVerdict TokenEventReader::read(std::string_view bytes,
                                    const std::function<bool(const TokenEvent&)>& on_event) {
  std::string joined;
  if (!partial_.empty()) {
    joined = std::move(partial_);
    joined.append(bytes);
    bytes = joined;
    partial_ = {};
  }
  while (!bytes.empty()) {
    const std::size_t end = bytes.find(kEventEnd);
    if (end == std::string_view::npos) {
      partial_ = bytes;
      return bytes.size() > kLargestEventBytes ? ParseVerdict::kMalformed : ParseVerdict::kGood;
    }
    TokenEvent event;
    event.text = bytes.substr(0, end + kEventEnd.size());
    bytes.remove_prefix(event.text.size());
    MemberReader members;
    if (event.text.starts_with(kDataPrefix)) {
      const std::string_view data = trim(event.text.substr(kDataPrefix.size()));
      event.done = data == kDone;
      if (!event.done && !nlohmann::json::sax_parse(data, &members)) {
        return ParseVerdict::kMalformed;
      }
      event.offset = members.offset;
      event.id = members.id_text;
    }
    if (!on_event(event)) {
      return ParseVerdict::kGood;
    }
  }
  return ParseVerdict::kGood;
}

}  // namespace ochrespring::proxy
