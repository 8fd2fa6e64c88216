#pragma once

#include <cstddef>
#include <string>

#include "core/time.h"

namespace teaselrudder {

/// Most that a connection holds of the answer to one operation, in bytes: complete rows and the unfinished message.
/// While a row is copied out of libpq, it counts once but exists up to three times. 20 connections hold 1.3 GB at most.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

/// How the adapter connects to members.
struct PostgresSettings {
  std::string database;
  std::string user;
  std::string password;
  /// Time from the start of a connection attempt until it counts as failed.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Most that is held of one answer, in bytes; see kMaxAnswerBytes.
  std::size_t max_answer_bytes = kMaxAnswerBytes;
};

}  // namespace teaselrudder
