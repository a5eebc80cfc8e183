// Times between the project's types and the schema's messages.
#pragma once

#include "base/time.h"

namespace google::protobuf {
class Duration;
class Timestamp;
}  // namespace google::protobuf

namespace ochrespring::operator_api {

/// Span from its message; the nearest representable one if it is out of range.
Duration from_proto_duration(const google::protobuf::Duration& message);
void to_proto_duration(Duration span, google::protobuf::Duration& message);

WallTime from_proto_timestamp(const google::protobuf::Timestamp& message);
void to_proto_timestamp(WallTime time, google::protobuf::Timestamp& message);

}  // namespace ochrespring::operator_api
