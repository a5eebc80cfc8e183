// Identifier types shared by all subsystems.
#pragma once

#include <cstdint>
#include <string>

#include "base/strong_type.h"

namespace ochrespring {

using NodeId = StrongString<struct NodeIdTag>;  ///< Node: the machine of one ochrespringd process.
using ServerId = StrongString<struct ServerIdTag>;  ///< Machine that hosts engines.
using EngineId = StrongString<struct EngineIdTag>;  ///< One model engine or ordinary back end.
using ServiceName = StrongString<struct ServiceNameTag>;  ///< Service that callers address.
using ModelName = StrongString<struct ModelNameTag>;
using AdapterName = StrongString<struct AdapterNameTag>;
using VersionName = StrongString<struct VersionNameTag>;
using TenantName = StrongString<struct TenantNameTag>;
using ZoneName = StrongString<struct ZoneNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
using RequestId = StrongString<struct RequestIdTag>;    ///< Caller's request, end to end.
using MutationId = StrongString<struct MutationIdTag>;  ///< Operator's change; identifies retries.

using Revision = StrongNumber<struct RevisionTag>;  ///< Of the fleet document; only increases.
using Epoch =
    StrongNumber<struct EpochTag>;  ///< Of a shard's authority; increased on each hand-over.
using Incarnation =
    StrongNumber<struct IncarnationTag>;  ///< Of a process; increased on restart or refutation.
using ShardId =
    StrongNumber<struct ShardIdTag, std::uint32_t>;  ///< Group of engines under one authority.

/// IP address and port that a process listens on, such as `127.0.0.1:8080` or `[::1]:8080`.
using Endpoint = StrongString<struct EndpointTag>;

}  // namespace ochrespring
