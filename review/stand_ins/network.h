#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace teaselrudder::review {

/// The zones of a deployment, of which one can be cut off from the others.
class Network {
 public:
  /// Cuts `zone` off from all other zones and from the platform.
  void cut(const std::string& zone);
  void heal() { m_is_cut = false; }
  /// Returns true if messages pass between the two zones. The platform is in a zone of its own.
  bool connects(const std::string& first, const std::string& second) const;

 private:
  std::string m_zone;
  std::atomic<bool> m_is_cut = false;
};

/// Zone of the platform's store and of its interface for promotions.
inline constexpr const char* kPlatformZone = "platform";

/// Forwards datagrams that arrive on a free port of 127.0.0.1 to another port, while `passes` returns true.
class DatagramRelay {
 public:
  DatagramRelay(std::uint16_t target, std::function<bool()> passes);
  std::uint16_t port() const { return m_port; }

 private:
  std::uint16_t m_port = 0;
};

}  // namespace teaselrudder::review
