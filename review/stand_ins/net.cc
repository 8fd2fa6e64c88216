#include "review/stand_ins/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>

namespace teaselrudder::review {

namespace {

constexpr int kBacklog = 256;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int bind_to_free_port(std::uint16_t& port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof(address);
  if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::perror("cannot bind to a free port");
    std::_Exit(2);
  }
  port = ntohs(address.sin_port);
  return descriptor;
}

std::string url_decode(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded.push_back(static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
      at += 2;
    } else {
      decoded.push_back(text[at]);
    }
  }
  return decoded;
}

void split_query(HttpRequest& request) {
  const std::size_t mark = request.path.find('?');
  if (mark == std::string::npos) {
    return;
  }
  std::istringstream fields(request.path.substr(mark + 1));
  request.path.resize(mark);
  for (std::string field; std::getline(fields, field, '&');) {
    const std::size_t equals = field.find('=');
    request.query[field.substr(0, equals)] =
        equals == std::string::npos ? std::string() : url_decode(field.substr(equals + 1));
  }
}

std::optional<HttpRequest> read_request(Connection& connection) {
  const auto first = connection.read_line();
  if (!first.has_value()) {
    return std::nullopt;
  }
  HttpRequest request;
  std::istringstream words(*first);
  words >> request.method >> request.path;
  split_query(request);
  for (auto line = connection.read_line(); line.has_value() && !line->empty(); line = connection.read_line()) {
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    request.headers[name] = value == std::string::npos ? std::string() : line->substr(value);
  }
  const auto length = request.headers.find("content-length");
  if (length != request.headers.end()) {
    auto body = connection.read_bytes(std::stoul(length->second));
    if (!body.has_value()) {
      return std::nullopt;
    }
    request.body = std::move(*body);
  }
  return request;
}

}  // namespace

Milliseconds elapsed() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
}

void sleep_for(Milliseconds duration) { std::this_thread::sleep_for(duration); }

Record::Record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {
  if (m_file == nullptr) {
    std::perror("cannot write the record");
    std::_Exit(2);
  }
}

Record::~Record() { std::fclose(m_file); }

void Record::line(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  std::fprintf(m_file, "%9.3f s  %s\n", static_cast<double>(elapsed().count()) / 1000, text.c_str());
  std::fflush(m_file);
}

Connection::~Connection() { ::close(m_descriptor); }

bool Connection::fill(std::optional<Milliseconds> timeout) {
  pollfd waiting{m_descriptor, POLLIN, 0};
  const int limit = timeout.has_value() ? static_cast<int>(std::max<std::int64_t>(timeout->count(), 0)) : -1;
  if (::poll(&waiting, 1, limit) <= 0) {
    return false;
  }
  std::array<char, 65536> bytes{};
  const ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    m_ended = true;
    return false;
  }
  m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Connection::read_line(std::optional<Milliseconds> timeout) {
  const Milliseconds begin = elapsed();
  std::size_t end = m_buffer.find('\n');
  while (end == std::string::npos) {
    if (!fill(timeout.has_value() ? std::optional(*timeout - (elapsed() - begin)) : std::nullopt)) {
      return std::nullopt;
    }
    end = m_buffer.find('\n');
  }
  std::string line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 1);
  if (line.ends_with('\r')) {
    line.pop_back();
  }
  return line;
}

std::optional<std::string> Connection::read_bytes(std::size_t count) {
  while (m_buffer.size() < count) {
    if (!fill(std::nullopt)) {
      return std::nullopt;
    }
  }
  std::string bytes = m_buffer.substr(0, count);
  m_buffer.erase(0, count);
  return bytes;
}

bool Connection::send(std::string_view text) const {
  while (!text.empty()) {
    const ssize_t count = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void Connection::shut_down() const { ::shutdown(m_descriptor, SHUT_RDWR); }

Listener::Listener(Handler handler) {
  const int descriptor = bind_to_free_port(m_port);
  if (::listen(descriptor, kBacklog) != 0) {
    std::perror("cannot listen");
    std::_Exit(2);
  }
  std::thread([descriptor, handler = std::move(handler)] {
    while (true) {
      const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int enabled = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
      std::thread([accepted, handler] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  }).detach();
}

std::uint16_t free_port() {
  std::uint16_t port = 0;
  ::close(bind_to_free_port(port));
  return port;
}

int connect_to(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  const int enabled = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return descriptor;
}

HttpServer::HttpServer(Handler handler)
    : m_handler(std::move(handler)), m_listener([this](Connection& connection) {
        while (const auto request = read_request(connection)) {
          const HttpResponse response = m_handler(*request);
          const std::string text =
              "HTTP/1.1 " + std::to_string(response.status) +
              " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
              "\r\n\r\n" + response.body;
          if (!connection.send(text)) {
            return;
          }
        }
      }) {}

int get_status(std::uint16_t port, const std::string& path) {
  const int descriptor = connect_to(port);
  if (descriptor < 0) {
    return 0;
  }
  Connection connection(descriptor);
  connection.send("GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n");
  const auto line = connection.read_line(Milliseconds(1000));
  const std::size_t blank = line.has_value() ? line->find(' ') : std::string::npos;
  return blank == std::string::npos ? 0 : std::atoi(line->c_str() + blank + 1);
}

}  // namespace teaselrudder::review
