// Hands this node's view of the fleet to nodes that have none, and fetches theirs.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "discovery/view_snapshot.h"
#include "http/client.h"
#include "http/server.h"

namespace ochrespring::gateway_node {

/// One loop.
class ViewExchange {
 public:
  using Snapshot = std::optional<discovery::ViewSnapshot>;

  struct Options {
    Endpoint listen;              ///< Empty: nothing is served.
    std::vector<Endpoint> seeds;  ///< Nodes to ask; this one may be among them, any may be down.
  };

  /// `own_view` is called for each request of another node.
  ViewExchange(http::EventLoop& loop, http::Client& client, Options options,
               std::function<Snapshot()> own_view);

  Result<void, http::HttpError> listen();
  /// The address bound, with its real port.
  Endpoint bound() const { return server_.bound(); }
  /// Another node offers its view at `source`.
  void note_source(const Endpoint& source);
  /// Asks the next of the seeds and of those that offered their view; calls back with none if it
  /// has no view or does not answer.
  void fetch(std::function<void(Snapshot)> done);
  /// Asks one node, which has said that it has a view.
  void fetch_from(const Endpoint& holder, std::function<void(Snapshot)> done);

 private:
  static constexpr std::size_t kMostSources = 8;

  http::Client& client_;
  Options options_;
  std::function<Snapshot()> own_view_;
  http::Server server_;
  std::deque<Endpoint> sources_;  ///< The newest offer first.
  std::size_t next_ = 0;
};

}  // namespace ochrespring::gateway_node
