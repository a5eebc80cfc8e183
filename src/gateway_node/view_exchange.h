// Serves this node's view of the fleet, or the changes in it, to other nodes, and fetches theirs.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "discovery/view_fetcher.h"
#include "discovery/view_transfer.h"
#include "gateway_node/transfer_budget.h"
#include "http/client.h"
#include "http/server.h"

namespace ochrespring::gateway_node {

/// Transfers views compressed: 10,000 servers take about 1.2 MB uncompressed. Requests that arrive
/// at about the same time share one encoded answer. A node that has no view or whose link is
/// full refuses requests and names some of the nodes that it has served instead, so that a view
/// spreads as a tree. Not thread-safe; used on one event loop.
class ViewExchange {
 public:
  using Transfer = std::optional<discovery::ViewTransfer>;
  /// The revision after which changes are requested; empty for the complete view.
  using AfterRevision = std::optional<shared_store::StoreRevision>;

  /// The referenced objects must outlive the ViewExchange.
  struct Dependencies {
    http::EventLoop& loop;
    http::Client& client;
    const Clock& clock;
    RandomSource& random;
  };

  struct Options {
    Endpoint listen;              ///< Empty if no views are served.
    std::vector<Endpoint> seeds;  ///< Nodes to ask; may include this one and unreachable ones.
    std::uint32_t link_mbps = 0;  ///< Speed of this machine's network link; 0 if unknown.
    http::CallerGuard* guard = nullptr;  ///< See http::ServerSettings.
  };

  /// `own_view` returns the changes after a revision, or the complete view, for the requests of
  /// other nodes; nothing if there is no view.
  ViewExchange(Dependencies deps, Options options, std::function<Transfer(AfterRevision)> own_view);

  Result<void, http::HttpError> listen();
  /// Returns the bound address, with the actual port.
  Endpoint bound() const { return server_.bound(); }
  /// Records the address of a node from which views can be fetched. fetch() tries the most recent
  /// one first.
  void note_source(const Endpoint& source);
  /// Requests the complete view of the next node in turn among those that offered their view, the
  /// seeds and a random one of `others`. Calls `done` with nothing if there is no such node, or if
  /// it has no view or does not answer.
  void fetch(const std::vector<Endpoint>& others, discovery::TransferCallback done);
  /// Requests the view of one node that has announced it. If that node refuses, requests it from
  /// one of the nodes that it names.
  void fetch_from(const discovery::ViewRequest& wanted, discovery::TransferCallback done);

 private:
  static constexpr std::size_t kMaxSources = 8;
  /// Number of most recently served nodes that are kept.
  static constexpr std::size_t kMaxServed = 16;
  static constexpr std::size_t kMaxCachedAnswers = 4;

  /// An encoded answer, kept for further requests of the same content.
  struct CachedAnswer {
    AfterRevision after;
    std::string bytes;
    MonotonicTime created;
  };
  /// The result of one request.
  struct FetchResult {
    Transfer transfer;
    std::vector<Endpoint> others;  ///< Nodes named by a node that refused.
  };

  void serve(const http::Request& request, http::ResponseWriter& response);
  /// Returns null if there is no view.
  const CachedAnswer* answer_for(AfterRevision after);
  void refuse(http::ResponseWriter& response);
  void note_served(const Endpoint& requester);
  void request(const discovery::ViewRequest& wanted, std::function<void(FetchResult)> done);

  Dependencies deps_;
  Options options_;
  std::function<Transfer(AfterRevision)> own_view_;
  http::Server server_;
  TransferBudget budget_;
  std::deque<CachedAnswer> cached_answers_;
  std::deque<Endpoint> served_;   ///< Newest first.
  std::deque<Endpoint> sources_;  ///< Most recently noted first.
  std::size_t next_candidate_ = 0;
};

}  // namespace ochrespring::gateway_node
