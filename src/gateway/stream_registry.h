// Interface that remembers, across nodes, which software began streams.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/route_table.h"
#include "gateway/software_id.h"

namespace ochrespring::gateway {

/// Identifies a stream by the caller's attempt that began it, hashed. Attempts of different tenants
/// never share a key, whatever their ids.
struct StreamKey {
  std::uint64_t tenant = 0;
  std::uint64_t attempt = 0;

  bool operator==(const StreamKey&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& tenant;
    archive& attempt;
  }
};

/// `tenant` is empty for a request without one.
StreamKey make_stream_key(const TenantName& tenant, std::string_view attempt_id);

/// What the software of a stream was concluded from, or why it is not known.
enum class OriginEvidence : std::uint8_t {
  kOwnRecord,
  kPeerRecord,
  kSoleSoftware,     ///< No other software can have begun a stream of the service.
  kConflicting,      ///< Records name different software.
  kSeveralSoftware,  ///< No record, and several software may have begun the stream.
  kUnknownHistory,   ///< No record, and this node does not know all software of the service.
  kOutdatedView,     ///< No record, and this node's view is too old to conclude anything from.
};

/// Name of the evidence in logs.
std::string_view describe(OriginEvidence evidence);

/// The stream that a caller takes up.
struct StreamQuery {
  std::optional<StreamKey> stream;     ///< None if the caller does not name its first attempt.
  std::optional<ServiceName> service;  ///< None if several services may have begun it.
  std::shared_ptr<const RouteTable> routes;  ///< By which the request is routed.
  MonotonicTime arrived{};                   ///< When the caller's request arrived.
};

/// Which software began a stream.
struct StreamOrigin {
  std::optional<SoftwareId> software;  ///< None if that is not known for certain.
  OriginEvidence evidence = OriginEvidence::kUnknownHistory;
};

/// Remembers which software began streams, so that any node can continue them. Used on one event
/// loop.
class StreamRegistry {
 public:
  using FindCallback = std::function<void(const StreamOrigin& origin)>;

  virtual ~StreamRegistry() = default;
  /// Records a stream, or extends its record. Must be called before the caller is sent the first
  /// event, because this node may terminate at any time.
  virtual void note_begun(const StreamKey& stream, SoftwareId software, Duration lifetime) = 0;
  /// Calls `done`, possibly before it returns, with the software that began the stream.
  virtual void find(const StreamQuery& query, FindCallback done) = 0;
  /// Called for each stream that may be taken up, recorded or not: its caller may do so for
  /// `lifetime` from now.
  virtual void note_stream(const ServiceName& service, Duration lifetime) = 0;
};

}  // namespace ochrespring::gateway
