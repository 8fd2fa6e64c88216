#pragma once

#include <cstddef>
#include <string>

#include "core/time.h"

namespace teaselrudder {

/// Most that a connection holds of the answer to one operation, in bytes. With 20 connections to a member this keeps
/// a host that receives only oversized answers near one gigabyte.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

/// How the adapter connects to members.
struct PostgresSettings {
  std::string database;
  std::string user;
  std::string password;
  /// Time from the start of a connection attempt until it counts as failed.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Most that is held of one answer, in bytes.
  std::size_t max_answer_bytes = kMaxAnswerBytes;
};

}  // namespace teaselrudder
