#pragma once

#include <cstddef>
#include <string>

#include "core/time.h"

namespace teaselrudder {

/// Maximum size in bytes of the response to one operation that a connection buffers: the complete rows and the
/// incomplete message. A row is counted once, but exists up to three times while it is copied out of libpq. 20
/// connections buffer at most 1.3 GB.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

/// Settings of the connections to members.
struct PostgresSettings {
  std::string database;
  std::string user;
  std::string password;
  /// Timeout of a connection attempt.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Maximum size of the response to one operation in bytes; see kMaxAnswerBytes.
  std::size_t max_answer_bytes = kMaxAnswerBytes;
};

}  // namespace teaselrudder
