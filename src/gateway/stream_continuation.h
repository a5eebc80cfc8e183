// Keeps the stream of one request at the software that began it.
#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "gateway/environment.h"
#include "gateway/failure_answer.h"
#include "gateway/software_id.h"
#include "gateway/stream_registry.h"
#include "gateway/types.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// The software of a stream is fixed by its first event, or by the record of the attempt whose
/// stream the caller takes up. Serves one request, on one event loop. The referenced objects must
/// outlive it.
class StreamContinuation {
 public:
  /// `tenant` is null for a request without one.
  StreamContinuation(const Environment& environment, const Route& route,
                     const http::Request& request, const Tenant* tenant)
      : environment_(environment), route_(route), request_(request), tenant_(tenant) {}

  /// Whether the caller states that it has received events of the stream.
  bool is_taken_up() const;
  /// Identifies the stream by the attempt that began it: this one, or the one that the caller
  /// names; none if that attempt has no id, or if the route's streams cannot be taken up.
  std::optional<StreamKey> key() const;
  /// Asks which software began the stream that the caller takes up.
  StreamQuery query(std::shared_ptr<const RouteTable> routes, MonotonicTime arrived) const;
  /// Why a stream that is taken up is rejected if its software is not known.
  FailureReason unknown_reason(OriginEvidence evidence) const;
  /// Sets the software that began the stream.
  void set_software(SoftwareId software) { software_ = software; }
  /// None if no event has been sent and the caller takes up no stream.
  const std::optional<SoftwareId>& software() const { return software_; }
  /// The service of the route that has back ends with the stream's software; none if no back end
  /// with it accepts new requests.
  std::optional<ServiceName> find_service() const;
  /// Must be called before an event of a back end of `service` is sent to the caller.
  void note_event(const ServiceName& service, SoftwareId software);

 private:
  /// For how long the caller may take up the stream, at most.
  Duration lifetime() const;
  /// Id of the attempt that began the stream; empty if it is not known.
  std::string_view first_attempt() const;

  const Environment& environment_;
  const Route& route_;
  const http::Request& request_;
  const Tenant* tenant_;
  std::optional<SoftwareId> software_;
  bool recorded_ = false;
};

}  // namespace ochrespring::gateway
