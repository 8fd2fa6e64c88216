#pragma once

#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Why a session token was rejected.
enum class SessionTokenError { kMalformed, kAltered, kOtherService };

/// Encodes, signs and verifies session tokens.
///
/// A token holds the service, its group and the session's position, so any host can serve the session without shared
/// state. It is authenticated with HMAC-SHA-256; all hosts have the same key in their settings.
class SessionTokenCodec {
 public:
  /// Longest token that decode() accepts, in bytes.
  static constexpr std::size_t kMaxTokenLength = 512;

  explicit SessionTokenCodec(std::string key) : m_key(std::move(key)) {}

  /// Returns the signed token for a session of `service` at `position`.
  std::string encode(const ServiceName& service, const GroupId& group, const SessionPosition& position) const;

  /// Verifies `token` and returns its position. An empty token starts a new session at the zero position. Errors:
  /// kMalformed if the token does not parse or is too long, kAltered if the signature does not match, kOtherService if
  /// the token was issued for another service or group.
  tl::expected<SessionPosition, SessionTokenError> decode(std::string_view token, const ServiceName& service,
                                                          const GroupId& group) const;

  /// Returns the signing key, which also signs transaction handles.
  const std::string& key() const { return m_key; }

 private:
  std::string m_key;
};

}  // namespace teaselrudder
