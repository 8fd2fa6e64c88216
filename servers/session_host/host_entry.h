#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace teaselrudder {

/// Record of a host in the platform's store.
struct HostEntry {
  /// Address at which the host receives reports of other hosts.
  Endpoint evidence_endpoint;
  FailureDomainId domain;
  /// Number that differs for each process of the same host.
  std::uint64_t incarnation = 0;
  /// True from the begin of the process's graceful stop on.
  bool stopping = false;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// Returns the entry as one line of text: address, port, incarnation and failure domain, separated by spaces. The
/// incarnation of a stopping process is followed by "!".
std::string encode_host_entry(const HostEntry& entry);

/// Parses an entry. Returns nothing if the text is not a valid entry.
std::optional<HostEntry> decode_host_entry(std::string_view text);

}  // namespace teaselrudder
