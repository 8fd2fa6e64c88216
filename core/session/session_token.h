#pragma once

#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Reason why a text is not a valid session token.
enum class SessionTokenError { kMalformed, kAltered, kOtherService };

/// Signs and checks session tokens.
///
/// A token holds the service, its group and the session's position, so that any host can serve the session without
/// shared state. It is authenticated with HMAC-SHA-256 under a key that all hosts are given in their settings.
class SessionTokenCodec {
 public:
  /// Longest token that decode() looks at, in bytes.
  static constexpr std::size_t kMaxTokenLength = 512;

  explicit SessionTokenCodec(std::string key) : m_key(std::move(key)) {}

  /// Returns the token for a position of a session of `service`.
  std::string encode(const ServiceName& service, const GroupId& group, const SessionPosition& position) const;

  /// Returns the position in `token`, or the reason why it is not a token of `service` and `group`. An empty token is
  /// the start of a new session.
  tl::expected<SessionPosition, SessionTokenError> decode(std::string_view token, const ServiceName& service,
                                                          const GroupId& group) const;

  /// Returns the key, under which transaction handles are signed as well.
  const std::string& key() const { return m_key; }

 private:
  std::string m_key;
};

}  // namespace teaselrudder
