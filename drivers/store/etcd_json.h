#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports/peer_port.h"
#include "core/ports/store_port.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Maximum size in bytes of a response, and of the unprocessed part of a watch response. A value of 1 MB takes 1.4 MB
/// in base64, and one line of a watch may contain several changes.
inline constexpr std::size_t kMaxStoreAnswerBytes = std::size_t{8} << 20;
/// Maximum number of hosts in the platform's host list.
inline constexpr std::size_t kMaxHostListEntries = 4096;

/// One message of a watch, which the store sends as one line.
struct WatchMessage {
  /// The store has accepted the watch.
  bool created = false;
  /// The store has ended the watch, for example because its start revision was compacted.
  bool cancelled = false;
  /// The changes of the watched key, oldest first.
  std::vector<StoreValue> changes;
};

/// Return the JSON request bodies for `/v3/kv/range`, `/v3/kv/txn` and `/v3/watch`.
std::string encode_range(std::string_view key);
std::string encode_compare_and_swap(std::string_view key, StoreRevision expected, std::string_view value);
std::string encode_watch(std::string_view key, StoreRevision from);

/// Decode the responses. `key` is the key of the request, and `value` the value that it was to write. Return a one-line
/// error if the response is invalid or is about another key. Never throw.
tl::expected<StoreValue, std::string> decode_range(std::string_view body, std::string_view key);
tl::expected<CompareAndSwapResult, std::string> decode_compare_and_swap(std::string_view body, std::string_view key,
                                                                        std::string_view value);
tl::expected<WatchMessage, std::string> decode_watch_line(std::string_view line, std::string_view key);

/// Decodes the platform's host list, a JSON array of {host, failure_domain, ip, port, incarnation, state}. Returns a
/// one-line error if the list is invalid or contains a host twice. Never throws.
tl::expected<std::vector<HostRecord>, std::string> decode_host_list(std::string_view document);

/// Encodes a host list in the format that decode_host_list() reads.
std::string encode_host_list(const std::vector<HostRecord>& hosts);

}  // namespace teaselrudder
