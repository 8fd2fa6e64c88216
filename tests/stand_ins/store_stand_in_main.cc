#include <gflags/gflags.h>
#include <uv.h>

#include <array>
#include <cstdint>
#include <iostream>
#include <string>

#include "tests/stand_ins/store_stand_in.h"

DEFINE_uint32(port, 0, "Port on 127.0.0.1; 0 selects a free port.");

namespace {

using teaselrudder::testing::StoreStandIn;

// Runs the lines of the standard input as commands of the test double.
struct ControlInput {
  StoreStandIn* store = nullptr;
  uv_pipe_t pipe{};
  std::array<char, 4096> buffer{};
  std::string text;

  void on_bytes(std::string_view bytes) {
    text += bytes;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
      const std::string line = text.substr(0, end);
      text.erase(0, end + 1);
      std::cout << (store->run_command(line) ? "ok " : "unknown ") << line << std::endl;
    }
  }
};

void read_control_lines(uv_loop_t* loop, ControlInput& input) {
  uv_pipe_init(loop, &input.pipe, 0);
  input.pipe.data = &input;
  if (uv_pipe_open(&input.pipe, 0) != 0) {
    return;
  }
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&input.pipe),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& bytes = static_cast<ControlInput*>(handle->data)->buffer;
        *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      },
      [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
        if (count < 0) {
          uv_read_stop(stream);
        } else {
          static_cast<ControlInput*>(stream->data)->on_bytes({buffer->base, static_cast<std::size_t>(count)});
        }
      });
}

}  // namespace

/// Runs the test double of an etcd store until it is killed. Prints `port=N`, then runs commands from the standard
/// input if that is a pipe.
int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  uv_loop_t* const loop = uv_default_loop();
  StoreStandIn store(loop, static_cast<std::uint16_t>(FLAGS_port));
  std::cout << "port=" << store.port() << std::endl;
  ControlInput input;
  input.store = &store;
  if (uv_guess_handle(0) == UV_NAMED_PIPE) {
    read_control_lines(loop, input);
  }
  return uv_run(loop, UV_RUN_DEFAULT);
}
