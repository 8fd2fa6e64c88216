#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports/peer_port.h"
#include "core/ports/store_port.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Longest answer, and longest line of a watch, in bytes. A value of 1 MB takes 1.4 MB in base64; a line of a watch may
/// hold several changes.
inline constexpr std::size_t kMaxStoreAnswerBytes = std::size_t{8} << 20;
/// Most hosts in the platform's list.
inline constexpr std::size_t kMaxHostListEntries = 4096;

/// One line of a watch.
struct WatchMessage {
  /// The store accepted the watch.
  bool created = false;
  /// The store ended the watch, for example because the start revision was compacted away.
  bool cancelled = false;
  /// The changes of the watched key, oldest first.
  std::vector<StoreValue> changes;
};

/// Bodies of the requests to `/v3/kv/range`, `/v3/kv/txn` and `/v3/watch`.
std::string encode_range(std::string_view key);
std::string encode_compare_and_swap(std::string_view key, StoreRevision expected, std::string_view value);
std::string encode_watch(std::string_view key, StoreRevision from);

/// Read the answers. `key` is the key that was asked for and `value` the one that was to be written; the error says in
/// one line what is wrong. They never throw.
tl::expected<StoreValue, std::string> decode_range(std::string_view body, std::string_view key);
tl::expected<CompareAndSwapResult, std::string> decode_compare_and_swap(std::string_view body, std::string_view key,
                                                                        std::string_view value);
tl::expected<WatchMessage, std::string> decode_watch_line(std::string_view line, std::string_view key);

/// Reads the platform's list: a JSON array of {host, failure_domain, ip, port, incarnation, state}.
tl::expected<std::vector<HostRecord>, std::string> decode_host_list(std::string_view document);

/// Writes the list in the form that decode_host_list() reads.
std::string encode_host_list(const std::vector<HostRecord>& hosts);

}  // namespace teaselrudder
