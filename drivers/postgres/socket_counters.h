#pragma once

#include <cstdint>

namespace teaselrudder {

/// Returns the number of bytes that arrived on a TCP socket since it was connected, including bytes that were not read
/// yet. The end of the stream counts as one byte. Returns zero if the kernel does not provide the number.
std::uint64_t received_bytes(int socket);

/// Returns the number of bytes that arrived on a TCP socket and were not read yet, or zero if it is not available.
std::uint64_t unread_bytes(int socket);

}  // namespace teaselrudder
