#pragma once

#include <cstdint>

namespace teaselrudder {

/// Returns the bytes that arrived on a TCP socket since it was connected, read or not; zero if that is not known. The
/// end of the stream counts as one more byte.
std::uint64_t received_bytes(int socket);

/// Returns the bytes that arrived on a TCP socket and were not read yet.
std::uint64_t unread_bytes(int socket);

}  // namespace teaselrudder
