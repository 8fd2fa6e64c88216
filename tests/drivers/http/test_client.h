#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cctype>
#include <cstdint>
#include <exception>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "drivers/event_loop/event_loop.h"

namespace teaselrudder::testing {

/// Runs the loop on this thread and `client` on another one, until `client` returns. Rethrows an exception of `client`.
inline void run_with_client(EventLoop& loop, const std::function<void()>& client) {
  std::exception_ptr failure;
  std::thread thread([&] {
    try {
      client();
    } catch (...) {
      failure = std::current_exception();
    }
    loop.stop();
  });
  loop.run();
  thread.join();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

/// A blocking TCP connection to a port on the loopback interface.
class TestConnection {
 public:
  explicit TestConnection(std::uint16_t port) : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;
  ~TestConnection() { close(m_socket); }

  bool connected() const { return m_connected; }

  void send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Reads until the server closes the connection.
  std::string read_all() {
    while (receive()) {
    }
    return std::exchange(m_received, "");
  }

  /// Reads `count` bytes, or fewer if the server closes the connection.
  std::string read(std::size_t count) {
    while (m_received.size() < count && receive()) {
    }
    std::string bytes = m_received.substr(0, count);
    m_received.erase(0, count);
    return bytes;
  }

  /// Reads up to and including `end`. Throws std::runtime_error if the server closes the connection before.
  std::string read_until(const std::string& end) {
    while (m_received.find(end) == std::string::npos) {
      if (!receive()) {
        throw std::runtime_error("connection closed after '" + m_received + "'");
      }
    }
    return read(m_received.find(end) + end.size());
  }

 private:
  bool receive() {
    std::array<char, 4096> bytes{};
    const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
    m_received.append(bytes.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    return count > 0;
  }

  int m_socket;
  bool m_connected = false;
  std::string m_received;
};

/// An HTTP/1.1 response with a `content-length` header. `head` is converted to lower case.
struct TestResponse {
  int status = 0;
  std::string head;
  std::string body;
};

inline TestResponse read_response(TestConnection& connection) {
  TestResponse response;
  response.head = connection.read_until("\r\n\r\n");
  for (char& character : response.head) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  response.status = std::stoi(response.head.substr(9, 3));
  const std::string name = "content-length: ";
  const std::size_t at = response.head.find(name);
  if (at != std::string::npos) {
    response.body = connection.read(std::stoul(response.head.substr(at + name.size())));
  }
  return response;
}

/// Sends a request on an open connection and reads the response.
inline TestResponse exchange_http(TestConnection& connection, const std::string& method, const std::string& path,
                                  const std::string& body = "") {
  connection.send(method + " " + path + " HTTP/1.1\r\nhost: test\r\ncontent-length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
  return read_response(connection);
}

/// Sends a request on a new connection and reads the response.
inline TestResponse exchange_http(std::uint16_t port, const std::string& method, const std::string& path,
                                  const std::string& body = "") {
  TestConnection connection(port);
  return exchange_http(connection, method, path, body);
}

/// An HTTP/2 frame.
struct Http2Frame {
  std::uint8_t type = 0;
  std::uint8_t flags = 0;
  std::uint8_t stream = 0;
  std::string payload;
};

/// A connection that implements just enough of HTTP/2 with prior knowledge to send requests and read frames. Supports
/// stream identifiers below 256 only.
class Http2TestConnection {
 public:
  static constexpr std::uint8_t kData = 0;
  static constexpr std::uint8_t kHeaders = 1;
  static constexpr std::uint8_t kResetStream = 3;
  static constexpr std::uint8_t kSettings = 4;
  static constexpr std::uint8_t kGoAway = 7;
  /// First byte of a header block whose first field is `:status: 200`.
  static constexpr char kStatus200 = '\x88';

  explicit Http2TestConnection(std::uint16_t port) : m_connection(port) {
    m_connection.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    send({kSettings, 0, 0, ""});
  }

  void send(const Http2Frame& frame) {
    const std::size_t length = frame.payload.size();
    const std::array<char, 9> head = {static_cast<char>(length >> 16U),
                                      static_cast<char>(length >> 8U),
                                      static_cast<char>(length),
                                      static_cast<char>(frame.type),
                                      static_cast<char>(frame.flags),
                                      0,
                                      0,
                                      0,
                                      static_cast<char>(frame.stream)};
    m_connection.send(std::string(head.data(), head.size()) + frame.payload);
  }

  void send_request(std::uint8_t stream, const std::string& path, const std::string& body) {
    // Header block: indexed `:method: POST` and `:scheme: http`, then `:path` and `:authority` as literals without
    // indexing.
    const std::string headers = std::string("\x83\x86\x04") + static_cast<char>(path.size()) + path + "\x01\x04test";
    const std::uint8_t end_headers = 4;
    const std::uint8_t end_stream = 1;
    send({kHeaders, end_headers, stream, headers});
    send({kData, end_stream, stream, body});
  }

  /// Reads up to the next frame of `type` and returns it. Returns an empty frame if the server closes the connection.
  Http2Frame read_frame(std::uint8_t type) {
    while (true) {
      const std::string head = m_connection.read(9);
      if (head.size() < 9) {
        return {};
      }
      const auto byte = [&head](std::size_t index) { return static_cast<std::uint8_t>(head[index]); };
      const std::size_t length = std::size_t{byte(0)} << 16U | std::size_t{byte(1)} << 8U | byte(2);
      Http2Frame frame{byte(3), byte(4), byte(8), m_connection.read(length)};
      if (frame.type == type) {
        return frame;
      }
    }
  }

 private:
  TestConnection m_connection;
};

}  // namespace teaselrudder::testing
