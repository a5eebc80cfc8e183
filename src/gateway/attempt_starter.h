// Starts the attempts of one request: builds what is sent to the back end and records the load.
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
#include "http/server.h"

namespace ochrespring::gateway {

/// The parts of a request that an attempt depends on.
struct AttemptInput {
  const http::Request& request;
  const std::shared_ptr<http::ResponseWriter>& caller;  ///< Nothing is sent once it has left.
  const Service* service = nullptr;  ///< Null if the configuration has no such service.
  const Tenant* tenant = nullptr;    ///< Null for a request without a tenant.
  const Prompt* prompt = nullptr;    ///< Null for a request that is not for an engine.
  const std::set<BackendId>& tried;  ///< Back ends the request was sent to.
  std::uint32_t priority = 0;
  Duration time_left{};                     ///< Until the deadline.
  std::optional<std::uint64_t> last_event;  ///< Id of the last event that the caller has.
  bool head_sent = false;                   ///< The caller has received the response head.
  bool trial = false;                       ///< Quarantined, but granted one send.
};

/// Serves one request, on one event loop. The referenced objects must outlive it.
class AttemptStarter {
 public:
  AttemptStarter(Environment& environment, const PrefillCacheHolder& cache, StreamBackup& backup)
      : environment_(environment), cache_(cache), backup_(backup) {}

  /// Creates an attempt: decides which caches it uses, where it is replicated and which run it
  /// resumes, and adds it to the back end's load. Sends nothing.
  Attempt make(const PlacementChoice& choice, SendKind kind, const AttemptInput& input);
  /// Sends the request of an attempt that make() created for `backend`.
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
