#include <gflags/gflags.h>
#include <uv.h>

#include <csignal>
#include <iostream>
#include <string>
#include <string_view>

#include "tests/stand_ins/database_member.h"

DEFINE_uint32(port, 0, "Port of the database protocol on 127.0.0.1; 0 selects a free port.");
DEFINE_uint32(connections, 20, "Maximum number of open client connections.");
DEFINE_uint32(slots, 3, "Maximum number of statements on the table that run at once.");
DEFINE_uint32(connect_delay_ms, 0, "Delay in milliseconds before the startup of a new connection is answered.");
DEFINE_uint32(statement_ms, 0, "Time in milliseconds for which each statement on the table holds a slot.");
DEFINE_uint32(receive_lag_ms, 0, "Time in milliseconds by which a replica delays the receipt of log records.");
DEFINE_uint32(replay_lag_ms, 0, "Time in milliseconds until a replica replays received log records.");

namespace {

using teaselrudder::testing::DatabaseMember;
using teaselrudder::testing::MemberSettings;
using teaselrudder::testing::TcpListener;
using teaselrudder::testing::TcpStream;

/// A control connection. Runs each received line as a command and answers it with `ok` or `error`.
class ControlConnection : public TcpStream {
 public:
  ControlConnection(uv_loop_t* loop, DatabaseMember& member) : TcpStream(loop), m_loop(loop), m_member(member) {}

 private:
  void on_data(std::string_view data) override {
    m_input += data;
    for (std::size_t end = m_input.find('\n'); end != std::string::npos; end = m_input.find('\n')) {
      send(m_member.run_command(m_input.substr(0, end)) ? "ok\n" : "error\n");
      m_input.erase(0, end + 1);
    }
    if (m_member.is_stopped()) {
      uv_stop(m_loop);
    }
  }

  uv_loop_t* const m_loop;
  DatabaseMember& m_member;
  std::string m_input;
};

MemberSettings settings_from_flags() {
  MemberSettings settings;
  settings.port = static_cast<std::uint16_t>(FLAGS_port);
  settings.connections = FLAGS_connections;
  settings.slots = FLAGS_slots;
  settings.connect_delay_ms = FLAGS_connect_delay_ms;
  settings.statement_ms = FLAGS_statement_ms;
  settings.receive_lag_ms = FLAGS_receive_lag_ms;
  settings.replay_lag_ms = FLAGS_replay_lag_ms;
  return settings;
}

}  // namespace

/// Runs the test double of a member until SIGTERM or the control command `die`. Prints `port=N` and `control_port=N`.
int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  uv_loop_t* const loop = uv_default_loop();
  DatabaseMember member(loop, settings_from_flags());
  auto* const control = new TcpListener(loop, 0, [loop, &member](uv_stream_t* listener) {
    (new ControlConnection(loop, member))->accept_from(listener);
  });
  uv_signal_t terminate;
  uv_signal_init(loop, &terminate);
  uv_signal_start(
      &terminate, [](uv_signal_t* handle, int /*signal*/) { uv_stop(handle->loop); }, SIGTERM);
  std::cout << "port=" << member.port() << "\ncontrol_port=" << control->port() << std::endl;
  uv_run(loop, UV_RUN_DEFAULT);
  // The event loop does not run again, so connections end without a shutdown, as if the process was killed.
  control->close();
  return 0;
}
