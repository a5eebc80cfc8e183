#include "operator_api/proto_time.h"

#include <google/protobuf/duration.pb.h>
#include <google/protobuf/timestamp.pb.h>

#include <cstdint>

namespace ochrespring::operator_api {

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

template <class Message>
Duration read(const Message& message) {
  std::int64_t nanoseconds = 0;
  const bool overflow =
      __builtin_mul_overflow(message.seconds(), kNanosecondsPerSecond, &nanoseconds) ||
      __builtin_add_overflow(nanoseconds, static_cast<std::int64_t>(message.nanos()), &nanoseconds);
  if (overflow) {
    return message.seconds() < 0 ? Duration::min() : Duration::max();
  }
  return Duration(nanoseconds);
}

template <class Message>
void write(Duration span, Message& message) {
  message.set_seconds(span.count() / kNanosecondsPerSecond);
  message.set_nanos(static_cast<std::int32_t>(span.count() % kNanosecondsPerSecond));
}

}  // namespace

Duration from_proto_duration(const google::protobuf::Duration& message) {
  return read(message);
}

void to_proto_duration(Duration span, google::protobuf::Duration& message) {
  write(span, message);
}

WallTime from_proto_timestamp(const google::protobuf::Timestamp& message) {
  return WallTime(read(message));
}

void to_proto_timestamp(WallTime time, google::protobuf::Timestamp& message) {
  write(time.time_since_epoch(), message);
}

}  // namespace ochrespring::operator_api
