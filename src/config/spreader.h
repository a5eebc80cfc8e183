// Spreads the document between nodes: a rumor of each new revision, deltas or the whole document on
// demand, and anti-entropy on the revision.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "base/timer.h"
#include "config/document_transfer.h"
#include "config/messages.h"
#include "config/settings.h"
#include "membership/overlay.h"
#include "peer/transport.h"

namespace ochrespring::config {

/// Counters since the start.
struct SpreadStatistics {
  std::uint64_t announcements = 0;
  std::uint64_t deltas_sent = 0;
  std::uint64_t deltas_received = 0;
  std::uint64_t documents_sent = 0;  ///< Offers of a whole document.
  std::uint64_t documents_received = 0;
  std::uint64_t mismatches = 0;   ///< Deltas that led elsewhere; a document was fetched.
  std::uint64_t unsupported = 0;  ///< Documents of a newer program, not put in force.
  std::uint64_t malformed_messages = 0;
};

/// Used on the control loop only; the owner passes messages of Channel::kConfig in.
class Spreader {
 public:
  Spreader(const membership::MemberView& members, DocumentStore& documents,
           const ConfigSettings& settings, const Clock& clock, TimerService& timers,
           RandomSource& random, peer::Transport& transport)
      : members_(members),
        documents_(documents),
        settings_(settings),
        clock_(clock),
        random_(random),
        transport_(transport),
        server_(documents, settings),
        rumor_timer_(timers),
        announce_timer_(timers),
        pace_timer_(timers) {}

  void start();
  /// A new revision is in force here: tell others.
  void on_new_revision();
  void on_message(const Endpoint& from, std::string_view payload);
  /// Revision last heard from a peer.
  std::optional<Revision> heard_revision(const Endpoint& peer) const;
  /// Whether this node may take its document for the newest: a few peers have told theirs since
  /// the start, one of them lately, and none has a newer one. A node that knows of no peers may,
  /// after the start delay.
  bool current() const;

  const SpreadStatistics& statistics() const { return statistics_; }

 private:
  void run_rumor();
  void run_announcement();
  void refresh_neighbours();
  std::vector<Endpoint> sample(std::size_t count);

  void on(const Endpoint& from, const Announce& message);
  void on(const Endpoint& from, const Fetch& message);
  void on(const Endpoint& from, const Deltas& message);
  void on(const Endpoint& from, const DocumentOffer& message);
  void on(const Endpoint& from, const PartRequest& message);
  void on(const Endpoint& from, const Part& message);
  void fetch_from(const Endpoint& from);
  void ask_for_part();
  void finish_download();
  void send(const Endpoint& to, const Message& message);

  const membership::MemberView& members_;
  DocumentStore& documents_;
  const ConfigSettings& settings_;
  const Clock& clock_;
  RandomSource& random_;
  peer::Transport& transport_;
  DocumentServer server_;
  std::optional<DocumentDownload> download_;
  Timer rumor_timer_;
  Timer announce_timer_;
  Timer pace_timer_;

  membership::Neighbours neighbours_;
  std::uint64_t neighbours_version_ = UINT64_MAX;
  std::size_t rumor_rounds_left_ = 0;
  std::optional<MonotonicTime> fetch_sent_;
  bool whole_document_needed_ = false;
  std::map<Endpoint, Revision> heard_;  ///< Of members only.
  MonotonicTime started_;
  MonotonicTime last_heard_;
  SpreadStatistics statistics_;
};

}  // namespace ochrespring::config
