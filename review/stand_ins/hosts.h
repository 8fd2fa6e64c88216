#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "review/stand_ins/member.h"
#include "review/stand_ins/net.h"
#include "review/stand_ins/store.h"

namespace teaselrudder::review {

/// A route of the configuration.
struct RouteSettings {
  std::string database;
  std::string kind;
  int timeout_ms = 800;
  int objective_ms = 150;
  int max_staleness_ms = 0;
};

/// Returns the value of op/config for one group.
std::string configuration(int version, const GroupSettings& group, const std::vector<RouteSettings>& routes);

/// A process of the project, started with the command of the deploy file.
class Host {
 public:
  /// Writes the settings file into `folder` and starts the process. Its output goes to a file there.
  Host(const std::string& folder, const std::string& name, const std::string& zone, std::uint16_t store,
       std::uint16_t cloud);
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  /// Kills the process if it runs.
  ~Host();

  std::uint16_t front() const { return m_front; }
  /// Port on which the host receives the reports of other hosts.
  std::uint16_t peers() const { return m_peers; }
  const std::string& name() const { return m_name; }
  void signal(int number) const;
  /// Returns true if the process has ended.
  bool has_ended();
  /// Waits until GET /readiness returns 200.
  bool wait_until_ready(Milliseconds timeout) const;
  /// Waits until the host's metrics contain `line`.
  bool wait_for_metric(const std::string& line, Milliseconds timeout) const;

 private:
  std::string m_name;
  std::uint16_t m_front;
  std::uint16_t m_ready;
  std::uint16_t m_peers;
  pid_t m_process = -1;
};

/// Answer to one statement of a client.
struct Reply {
  /// The answer arrived completely, up to READY.
  bool complete = false;
  std::vector<std::string> rows;
  std::string signature;
  /// Code of the error, or an empty text after a success.
  std::string error;
  std::string state;

  bool is_success() const { return complete && error.empty(); }
};

/// A client's session.
class Client {
 public:
  /// Connects to `port` of 127.0.0.1 and starts a session on `database`.
  Client(std::uint16_t port, const std::string& database, Record& record);

  bool is_open() const { return m_open; }
  /// Sends one statement and waits for its answer until the deadline.
  Reply query(const std::string& id, const std::string& text, Milliseconds deadline = Milliseconds(1500));

 private:
  Record& m_record;
  Connection m_connection;
  bool m_open = false;
};

/// Returns true if the disruption is left out (environment variable TROUBLE=0).
bool is_calm();

}  // namespace teaselrudder::review
