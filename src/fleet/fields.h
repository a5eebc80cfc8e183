// The fields of every resource: names, kinds and ranges, described once. Readers, writers,
// validation and field-by-field comparison are visitors of this description.
//
// A visitor provides, for a field's name and a reference to it:
//   identity(name, StrongString&)            name of the resource itself or a part of it
//   reference(name, StrongString&, Presence) name of something else
//   references(name, std::vector<StrongString>&)
//   endpoint(name, Endpoint&)
//   choice(name, Enumeration&)
//   flag(name, bool&)
//   number(name, Number&, Bounds<Number>)
//   bytes(name, std::uint64_t&, Bounds<std::uint64_t>)
//   duration(name, Duration&, Bounds<Duration>)
//   group(name, Struct&)                     nested fields
//   status_flag(name, bool&)                 not set through files; reported only
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <type_traits>

#include "fleet/types.h"

namespace ochrespring::fleet {

/// Closed range of allowed values.
template <class T>
struct Bounds {
  T lowest;
  T highest;
};

/// Whether a reference must be given.
enum class Presence : std::uint8_t { kRequired, kOptional };

/// T or const T.
template <class T, class Wanted>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Wanted>;

namespace bounds {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Bounds<Duration> kTarget{microseconds(1), seconds(600)};
inline constexpr Bounds<Duration> kDeadline{milliseconds(1), hours(24)};
inline constexpr Bounds<Duration> kDrain{Duration(0), hours(24)};
inline constexpr Bounds<Duration> kCooldown{Duration(0), hours(24)};
inline constexpr Bounds<Duration> kAttemptWindow{seconds(1), hours(24)};
inline constexpr Bounds<std::uint64_t> kBodyBytes{1, std::uint64_t{1} << 30U};
inline constexpr Bounds<std::uint64_t> kWeightBytes{0, std::uint64_t{1} << 50U};
inline constexpr Bounds<std::uint64_t> kKvBytesPerToken{1, std::uint64_t{1} << 30U};
inline constexpr Bounds<std::uint32_t> kContextTokens{1, 1U << 30U};
inline constexpr Bounds<std::uint32_t> kQueuedRequests{1, 1'000'000};
inline constexpr Bounds<std::uint32_t> kPercent{0, 100};
inline constexpr Bounds<std::uint32_t> kAccelerators{1, 1024};
inline constexpr Bounds<std::uint32_t> kTenantWeight{1, 1'000'000};
inline constexpr Bounds<std::uint32_t> kRequestsPerSecond{0, 1'000'000};
inline constexpr Bounds<std::uint8_t> kPriority{0, 2};
inline constexpr Bounds<double> kRoleChangePrice{0.0, 1000.0};
inline constexpr Bounds<std::uint32_t> kConcurrentChanges{0, 10'000};
inline constexpr Bounds<std::uint32_t> kShards{1, 4096};
inline constexpr Bounds<double> kRetryBudget{0.0, 1.0};

}  // namespace bounds

template <class Visitor, MaybeConst<ServiceLimits> T>
void visit_fields(Visitor& visitor, T& limits) {
  visitor.duration("first_token", limits.first_token, bounds::kTarget);
  visitor.duration("between_tokens", limits.between_tokens, bounds::kTarget);
  visitor.duration("deadline", limits.deadline, bounds::kDeadline);
  visitor.bytes("body_bytes", limits.body_bytes, bounds::kBodyBytes);
  visitor.number("queued_requests", limits.queued_requests, bounds::kQueuedRequests);
  visitor.number("minimum_serving_percent", limits.minimum_serving_percent, bounds::kPercent);
  visitor.duration("drain", limits.drain, bounds::kDrain);
}

template <class Visitor, MaybeConst<Policy> T>
void visit_fields(Visitor& visitor, T& policy) {
  visitor.number("role_change_price", policy.role_change_price, bounds::kRoleChangePrice);
  visitor.number("concurrent_changes", policy.concurrent_changes, bounds::kConcurrentChanges);
  visitor.duration("role_change_cooldown", policy.role_change_cooldown, bounds::kCooldown);
  visitor.number("shards", policy.shards, bounds::kShards);
  visitor.duration("attempt_window", policy.attempt_window, bounds::kAttemptWindow);
  visitor.number("retry_budget", policy.retry_budget, bounds::kRetryBudget);
}

template <class Visitor, MaybeConst<Tenant> T>
void visit_fields(Visitor& visitor, T& tenant) {
  visitor.identity("name", tenant.name);
  visitor.number("weight", tenant.weight, bounds::kTenantWeight);
  visitor.number("requests_per_second", tenant.requests_per_second, bounds::kRequestsPerSecond);
  visitor.number("queued_requests", tenant.queued_requests, bounds::kQueuedRequests);
  visitor.number("priority", tenant.priority, bounds::kPriority);
}

template <class Visitor, MaybeConst<Service> T>
void visit_fields(Visitor& visitor, T& service) {
  visitor.identity("name", service.name);
  visitor.choice("kind", service.kind);
  visitor.flag("repeatable", service.repeatable);
  visitor.group("limits", service.limits);
}

template <class Visitor, MaybeConst<Model> T>
void visit_fields(Visitor& visitor, T& model) {
  visitor.identity("name", model.name);
  visitor.reference("service", model.service, Presence::kRequired);
  visitor.reference("serving_version", model.serving_version, Presence::kOptional);
  visitor.bytes("kv_bytes_per_token", model.kv_bytes_per_token, bounds::kKvBytesPerToken);
  visitor.number("context_tokens", model.context_tokens, bounds::kContextTokens);
}

template <class Visitor, MaybeConst<ModelVersion> T>
void visit_fields(Visitor& visitor, T& version) {
  visitor.identity("model", version.model);
  visitor.identity("version", version.version);
  visitor.bytes("weight_bytes", version.weight_bytes, bounds::kWeightBytes);
}

template <class Visitor, MaybeConst<Adapter> T>
void visit_fields(Visitor& visitor, T& adapter) {
  visitor.identity("name", adapter.name);
  visitor.reference("model", adapter.model, Presence::kRequired);
  visitor.bytes("weight_bytes", adapter.weight_bytes, bounds::kWeightBytes);
}

template <class Visitor, MaybeConst<Engine> T>
void visit_fields(Visitor& visitor, T& engine) {
  visitor.identity("id", engine.id);
  visitor.reference("service", engine.service, Presence::kRequired);
  visitor.reference("server", engine.server, Presence::kRequired);
  visitor.reference("zone", engine.zone, Presence::kRequired);
  visitor.reference("region", engine.region, Presence::kOptional);
  visitor.endpoint("endpoint", engine.endpoint);
  visitor.choice("role", engine.role);
  visitor.flag("role_pinned", engine.role_pinned);
  visitor.reference("model", engine.model, Presence::kOptional);
  visitor.references("adapters", engine.adapters);
  visitor.number("accelerators", engine.accelerators, bounds::kAccelerators);
  visitor.status_flag("drained", engine.drained);
}

}  // namespace ochrespring::fleet
