// Begins the attempts of one request: what is sent to the server, and what is noted of it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "gateway/attempt.h"
#include "gateway/backend_request.h"
#include "gateway/environment.h"
#include "gateway/placement.h"
#include "gateway/prompt_cache.h"
#include "gateway/stream_backup.h"
#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// What an attempt needs to know of its request.
struct AttemptInput {
  const http::Request& request;
  const Service* service = nullptr;  ///< Null: the configuration has none of the name.
  const Tenant* tenant = nullptr;    ///< Null: nobody's.
  const Prompt* prompt = nullptr;    ///< Null: an ordinary request.
  const std::set<BackendId>& tried;  ///< Servers the request was sent to.
  std::uint32_t priority = 0;
  Duration left{};
  std::optional<std::uint64_t> last_event;  ///< The last that the caller has.
  bool answer_open = false;                 ///< The caller has the head.
  bool trial = false;                       ///< In quarantine, but granted one send.
};

/// One request's; one loop. References outlive it.
class AttemptStarter {
 public:
  AttemptStarter(Environment& environment, const PrefillCacheHolder& cache, StreamBackup& backup)
      : environment_(environment), cache_(cache), backup_(backup) {}

  /// Decides what the attempt fetches, replicates and goes on with, and adds it to the server's
  /// load. Nothing is sent yet.
  Attempt make(const PlacementChoice& choice, SendKind kind, const AttemptInput& input);
  /// Sends the request of an attempt that was made for `backend`.
  void send(Attempt& attempt, const Backend& backend, const AttemptInput& input,
            http::ResponseObserver& observer) const;

 private:
  void assign_caches(Attempt& attempt, const PlacementChoice& choice, SendKind kind,
                     const AttemptInput& input);
  BackendCall make_call(const Attempt& attempt, const Backend& backend,
                        const AttemptInput& input) const;
  std::size_t connection_share(const Service* service) const;

  Environment& environment_;
  const PrefillCacheHolder& cache_;
  StreamBackup& backup_;
};

}  // namespace ochrespring::gateway
