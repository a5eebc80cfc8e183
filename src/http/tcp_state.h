// What the kernel knows about a TCP connection, and how it closes one. Private to src/http.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace ochrespring::http {

/// Whether the peer has closed the connection or its sending direction, even if unread input
/// precedes the close. An invalid descriptor counts as closed. Costs a system call.
bool has_peer_closed(int descriptor);

/// Whether the peer has not acknowledged all bytes that were written. Costs a system call.
bool has_unacknowledged_output(int descriptor);

/// Makes the close of the connection a reset, which discards what the kernel has not delivered yet.
void set_reset_on_close(int descriptor);

/// Makes the close of the connection orderly again.
void clear_reset_on_close(int descriptor);

/// Resets the connection at once: the peer gets nothing more of what was written, and reading and
/// writing fail from now on. Returns false if the system does not support that.
bool reset_connection(int descriptor);

/// Discards up to `kMaxDiscardedBytes` of input that has arrived. The close of a connection with
/// unread input is a reset, which also discards output that the peer has not received.
void discard_input(int descriptor);
inline constexpr std::size_t kMaxDiscardedBytes = 256U << 10U;

/// Time since the last data arrived, with a resolution of milliseconds; zero if it is unknown.
/// Costs a system call.
Duration time_since_last_input(int descriptor);

}  // namespace ochrespring::http
