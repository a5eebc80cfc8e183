#include "node/control_metrics.h"

#include <string>

namespace ochrespring::node {

namespace {

using metrics::SampleSink;

/// Counters are kept as integers; the text format knows doubles only.
void count(SampleSink& sink, const char* name, const char* help, std::uint64_t value) {
  sink.counter({name, help}, static_cast<double>(value));
}

void level(SampleSink& sink, const char* name, const char* help, std::uint64_t value) {
  sink.gauge({name, help}, static_cast<double>(value));
}

void export_membership(const membership::MembershipStatistics& values, SampleSink& sink) {
  count(sink, "membership_probes", "Probes of other members", values.probes);
  count(sink, "membership_probe_failures", "Probes without any answer", values.probe_failures);
  count(sink, "membership_suspicions", "Suspicions raised by this node", values.suspicions);
  count(sink, "membership_refutations", "Refutations of this node's death", values.refutations);
  count(sink, "membership_deaths", "Deaths declared by this node", values.deaths);
  count(sink, "membership_pauses", "Pauses this process noticed of itself", values.pauses);
  count(sink, "membership_malformed_messages", "Messages that could not be read",
        values.malformed_messages);
  level(sink, "membership_local_health", "0: well; more: this node accuses more slowly",
        values.local_health);
}

void export_config(const config::ConfigStatistics& values, SampleSink& sink) {
  count(sink, "config_commits", "Changes accepted through this node", values.commit.accepted);
  count(sink, "config_refused", "Changes refused", values.commit.refused);
  count(sink, "config_conflicts", "Changes tried again after another node's",
        values.commit.conflicts);
  count(sink, "config_lost_answers", "Answers of the key-value service resolved by reading",
        values.commit.lost_answers);
  count(sink, "config_polls", "Reads of the key-value service", values.read.polls);
  count(sink, "config_read_failures", "Reads of the key-value service that failed",
        values.read.failures);
  count(sink, "config_service_older", "Times the service held less than it had accepted",
        values.read.service_older);
  count(sink, "config_write_backs", "Documents written back to the service",
        values.read.write_backs);
  count(sink, "config_unsupported_documents", "Documents of a newer program",
        values.spread.unsupported + values.read.unsupported);
}

void export_ledger(const ledger::Statistics& values, SampleSink& sink) {
  const ledger::CoordinatorStatistics& claims = values.coordinator;
  const auto verdict = [&](const char* name, std::uint64_t number) {
    sink.counter({"ledger_claims", "Claims of requests that may not be repeated, by verdict"},
                 static_cast<double>(number), {{"verdict", name}});
  };
  verdict("granted", claims.granted);
  verdict("repeated", claims.repeated);
  verdict("key_reused", claims.keys_reused);
  verdict("unavailable", claims.unavailable);
  count(sink, "ledger_outcomes_recorded", "Outcomes held by a majority", claims.recorded);
  count(sink, "ledger_record_timeouts", "Outcomes no majority acknowledged",
        claims.record_timeouts);
  level(sink, "ledger_claims_held", "Claims this node keeps as a replica", values.claims_held);
  level(sink, "ledger_outcome_bytes", "Bytes of outcomes this node keeps",
        values.outcome_bytes_held);
  level(sink, "ledger_partitions_voting", "Partitions this node votes in",
        values.partitions_voting);
}

void export_authority(const authority::AuthorityStatistics& values, SampleSink& sink) {
  count(sink, "authority_leases_gained", "Leases over shards gained", values.leases_gained);
  count(sink, "authority_leases_lost", "Leases over shards lost or given up", values.leases_lost);
  count(sink, "authority_store_calls", "Calls to the key-value service", values.store_calls);
  count(sink, "authority_electorates_created", "Electorates written", values.electorates_created);
}

void export_grants(const grants::GrantStatistics& values, SampleSink& sink) {
  count(sink, "grants_requested", "Requests for leave to dispatch", values.requests_sent);
  count(sink, "grants_received", "Grants received", values.grants_received);
  count(sink, "grants_answered", "Requests of other proxies answered", values.requests_answered);
  count(sink, "grants_notices_sent", "Changed rules sent to proxies", values.notices_sent);
}

void export_controller(const controller::ControllerStatistics& values, SampleSink& sink) {
  count(sink, "controller_orders_sent", "Orders sent to engines", values.orders_sent);
  count(sink, "controller_orders_withheld", "Orders not sent: the lease was over",
        values.orders_withheld);
  count(sink, "controller_fences_raised", "Fences raised at engines", values.fences_raised);
  count(sink, "controller_changes_started", "Changes of engines started", values.changes_started);
  count(sink, "controller_changes_completed", "Changes of engines completed",
        values.changes_completed);
  count(sink, "controller_changes_failed", "Changes of engines that failed", values.changes_failed);
  count(sink, "controller_role_changes", "Role changes completed", values.role_changes);
}

void export_digest(const digest::DigestStatistics& values, SampleSink& sink) {
  count(sink, "digest_polls", "Reads of servers' load", values.polls);
  count(sink, "digest_poll_failures", "Reads of servers' load that failed", values.poll_failures);
  count(sink, "digest_sent_bytes", "Bytes of digests sent", values.bytes_sent);
  count(sink, "digest_malformed_messages", "Digests that could not be read",
        values.malformed_messages);
}

void export_channel(peer::Channel channel, const peer::ChannelStatistics& values,
                    SampleSink& sink) {
  const std::vector<metrics::Label> labels{{"channel", std::string(channel_name(channel))}};
  sink.counter({"peer_sent_messages", "Messages sent to other nodes"},
               static_cast<double>(values.messages_sent), labels);
  sink.counter({"peer_sent_bytes", "Bytes of frames sent to other nodes"},
               static_cast<double>(values.bytes_sent), labels);
  sink.counter({"peer_received_messages", "Messages received from other nodes"},
               static_cast<double>(values.messages_received), labels);
  sink.counter({"peer_received_bytes", "Bytes of frames received from other nodes"},
               static_cast<double>(values.bytes_received), labels);
}

}  // namespace

void export_metrics(const control_plane::ControlPlaneStatistics& statistics, SampleSink& sink) {
  export_membership(statistics.membership, sink);
  export_config(statistics.config, sink);
  export_ledger(statistics.ledger, sink);
  export_authority(statistics.authority, sink);
  export_grants(statistics.grants, sink);
  export_controller(statistics.controller, sink);
  export_digest(statistics.digest, sink);
  count(sink, "fleet_views_published", "Snapshots handed to the proxies",
        statistics.views_published);
}

void export_metrics(const peer::TransportStatistics& statistics, std::size_t queued_bytes,
                    SampleSink& sink) {
  for (std::size_t index = 0; index < peer::kChannelCount; ++index) {
    export_channel(static_cast<peer::Channel>(index), statistics.channels.at(index), sink);
  }
  count(sink, "peer_dropped_messages", "Messages dropped: queue full or connection failed",
        statistics.messages_dropped);
  count(sink, "peer_connections_opened", "Connections opened to peers",
        statistics.connections_opened);
  count(sink, "peer_connection_failures", "Connections to peers that failed",
        statistics.connection_failures);
  count(sink, "peer_handshake_failures", "TLS handshakes with peers that failed",
        statistics.handshake_failures);
  count(sink, "peer_foreign_connections", "Connections of another cluster or protocol",
        statistics.foreign_connections);
  count(sink, "peer_malformed_frames", "Frames that could not be read",
        statistics.malformed_frames);
  level(sink, "peer_queued_bytes", "Bytes queued for peers", queued_bytes);
}

}  // namespace ochrespring::node
