// Hands this node's view of the fleet, or what has changed in it, to other nodes, and fetches
// theirs.
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

/// A view goes over compressed: 10,000 servers are some 1.2 MB plain. Askers that come at once get
/// the same bytes. A node whose link is full names some of those that it has served in place of an
/// answer, so that a view spreads as a tree. One loop.
class ViewExchange {
 public:
  using Transfer = std::optional<discovery::ViewTransfer>;
  using AskedAfter = std::optional<shared_store::StoreRevision>;

  struct Dependencies {
    http::EventLoop& loop;
    http::Client& client;
    const Clock& clock;
    RandomSource& random;
  };

  struct Options {
    Endpoint listen;              ///< Empty: nothing is served.
    std::vector<Endpoint> seeds;  ///< Nodes to ask; this one may be among them, any may be down.
    std::uint32_t link_mbps = 0;  ///< Of this machine's network link; 0: not known.
  };

  /// `own_view` is called for other nodes' requests: what has changed since a revision, or all.
  ViewExchange(Dependencies deps, Options options, std::function<Transfer(AskedAfter)> own_view);

  Result<void, http::HttpError> listen();
  /// The address bound, with its real port.
  Endpoint bound() const { return server_.bound(); }
  /// Another node offers its view at `source`.
  void note_source(const Endpoint& source);
  /// Asks the next of the seeds and of those that offered their view, or one of `others`, for its
  /// whole view; calls back with none if it has no view or does not answer.
  void fetch(const std::vector<Endpoint>& others, discovery::TransferCallback done);
  /// Asks one node, which has said that it has a view, and if it serves too many already, one of
  /// those that it names.
  void fetch_from(const discovery::ViewRequest& request, discovery::TransferCallback done);

 private:
  static constexpr std::size_t kMostSources = 8;
  /// Of those that were served last.
  static constexpr std::size_t kMostServed = 16;
  static constexpr std::size_t kMostKeptAnswers = 4;

  /// An answer as it went over, for the next one that asks the same.
  struct KeptAnswer {
    AskedAfter after;
    std::string bytes;
    MonotonicTime made;
  };
  /// What became of one request.
  struct Outcome {
    Transfer transfer;
    std::vector<Endpoint> others;  ///< Named by a node that could not serve.
  };

  void serve(const http::Request& request, http::ResponseWriter& response);
  /// None: there is no view.
  const KeptAnswer* answer_for(AskedAfter after);
  void refuse(http::ResponseWriter& response);
  void note_served(const Endpoint& asker);
  void ask(const discovery::ViewRequest& request, std::function<void(Outcome)> done);

  Dependencies deps_;
  Options options_;
  std::function<Transfer(AskedAfter)> own_view_;
  http::Server server_;
  TransferBudget budget_;
  std::deque<KeptAnswer> kept_;
  std::deque<Endpoint> served_;   ///< The newest first.
  std::deque<Endpoint> sources_;  ///< The newest offer first.
  std::size_t next_ = 0;
};

}  // namespace ochrespring::gateway_node
