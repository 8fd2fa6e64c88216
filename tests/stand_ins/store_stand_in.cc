#include "tests/stand_ins/store_stand_in.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "drivers/store/base64.h"
#include "tests/stand_ins/http_text.h"

namespace teaselrudder::testing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxRequestBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxHistory = 10000;
constexpr int kBacklog = 128;

std::string decode_field(const Json& object, const char* field) {
  const auto bytes = base64_decode(object.value(field, ""));
  if (!bytes.has_value()) {
    throw std::invalid_argument(std::string(field) + " is not base64");
  }
  return *bytes;
}

Json header(std::int64_t revision) { return {{"revision", std::to_string(revision)}}; }

void check(int status, const char* what) {
  if (status != 0) {
    throw std::runtime_error(std::string(what) + ": " + uv_strerror(status));
  }
}

std::string chunk(const std::string& bytes) {
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return std::string(size.data(), static_cast<std::size_t>(length)) + bytes + "\r\n";
}

struct WriteRequest {
  uv_write_t request{};
  std::string bytes;
};

}  // namespace

struct StoreStandIn::Connection {
  uv_tcp_t handle{};
  StoreStandIn* owner = nullptr;
  ConnectionNumber number = 0;
  std::string input;
  std::array<char, 65536> read_buffer{};
};

struct StoreStandIn::DelayedAnswer {
  uv_timer_t timer{};
  StoreStandIn* owner = nullptr;
  ConnectionNumber connection = 0;
  std::string bytes;
};

StoreStandIn::StoreStandIn(uv_loop_t* loop, std::uint16_t port) : m_loop(loop) { listen(port); }

StoreStandIn::~StoreStandIn() {
  stop_listening();
  for (DelayedAnswer* delayed : m_delayed) {
    uv_close(reinterpret_cast<uv_handle_t*>(&delayed->timer),
             [](uv_handle_t* handle) { delete static_cast<DelayedAnswer*>(handle->data); });
  }
}

void StoreStandIn::listen(std::uint16_t port) {
  m_listener = new uv_tcp_t;
  check(uv_tcp_init(m_loop, m_listener), "init");
  m_listener->data = this;
  sockaddr_in address{};
  check(uv_ip4_addr("127.0.0.1", port, &address), "address");
  check(uv_tcp_bind(m_listener, reinterpret_cast<const sockaddr*>(&address), 0), "bind");
  const auto on_connection_cb = [](uv_stream_t* stream, int status) {
    if (status == 0) {
      static_cast<StoreStandIn*>(stream->data)->on_connection();
    }
  };
  check(uv_listen(reinterpret_cast<uv_stream_t*>(m_listener), kBacklog, on_connection_cb), "listen");
  int length = sizeof(address);
  check(uv_tcp_getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length), "name");
  m_port = ntohs(address.sin_port);
}

void StoreStandIn::on_connection() {
  auto* connection = new Connection;
  connection->owner = this;
  connection->number = ++m_last_connection;
  connection->handle.data = connection;
  uv_tcp_init(m_loop, &connection->handle);
  m_connections.emplace(connection->number, connection);
  auto* stream = reinterpret_cast<uv_stream_t*>(&connection->handle);
  uv_accept(reinterpret_cast<uv_stream_t*>(m_listener), stream);
  uv_read_start(
      stream,
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& bytes = static_cast<Connection*>(handle->data)->read_buffer;
        *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      },
      [](uv_stream_t* reading, ssize_t count, const uv_buf_t* buffer) {
        const auto* from = static_cast<Connection*>(reading->data);
        if (count < 0) {
          from->owner->close(from->number);
        } else {
          from->owner->on_bytes(from->number, {buffer->base, static_cast<std::size_t>(count)});
        }
      });
}

void StoreStandIn::on_bytes(ConnectionNumber number, std::string_view bytes) {
  m_connections.at(number)->input += bytes;
  while (handle_next_request(number)) {
  }
}

/// Handles the next request. Returns false if it is incomplete or the connection is closed.
bool StoreStandIn::handle_next_request(ConnectionNumber number) {
  const auto found = m_connections.find(number);
  if (found == m_connections.end()) {
    return false;
  }
  std::string& input = found->second->input;
  if (input.size() > kMaxRequestBytes) {
    close(number);
    return false;
  }
  const std::optional<HttpRequestText> request = take_http_request(input);
  if (!request.has_value()) {
    return false;
  }
  ++m_requests;
  if (request->path == "/v3/watch" && !m_invalid_json && !m_invalid_http) {
    start_watch(number, request->body);
  } else {
    answer(number, respond(request->path, request->body));
  }
  return true;
}

StoreStandIn::HttpResponse StoreStandIn::respond(const std::string& path, const std::string& body) {
  try {
    if (path == "/v3/kv/range") {
      return {200, range(body)};
    }
    if (path == "/v3/kv/txn") {
      return {200, transact(body)};
    }
    if (path == "/v3/kv/put") {
      const Json request = Json::parse(body);
      put(decode_field(request, "key"), decode_field(request, "value"));
      return {200, Json{{"header", header(m_revision)}}.dump()};
    }
  } catch (const std::exception& error) {
    return {400, Json{{"error", error.what()}, {"code", 3}}.dump()};
  }
  return {404, Json{{"error", "not found"}, {"code", 5}}.dump()};
}

void StoreStandIn::answer(ConnectionNumber number, const HttpResponse& response) {
  if (m_answers_to_lose > 0) {
    --m_answers_to_lose;
    close(number);
    return;
  }
  std::string bytes =
      m_invalid_json ? http_response_text(200, "{\"header\":") : http_response_text(response.status, response.body);
  if (m_invalid_http) {
    bytes = "this is not HTTP\r\n\r\n";
  }
  if (m_delay == 0) {
    send(number, bytes);
    return;
  }
  auto* delayed = new DelayedAnswer;
  delayed->owner = this;
  delayed->connection = number;
  delayed->bytes = std::move(bytes);
  delayed->timer.data = delayed;
  m_delayed.insert(delayed);
  uv_timer_init(m_loop, &delayed->timer);
  const auto on_due = [](uv_timer_t* timer) {
    auto* due = static_cast<DelayedAnswer*>(timer->data);
    due->owner->send(due->connection, due->bytes);
    due->owner->m_delayed.erase(due);
    uv_close(reinterpret_cast<uv_handle_t*>(timer),
             [](uv_handle_t* handle) { delete static_cast<DelayedAnswer*>(handle->data); });
  };
  uv_timer_start(&delayed->timer, on_due, m_delay, 0);
}

void StoreStandIn::send(ConnectionNumber number, const std::string& bytes) {
  const auto found = m_connections.find(number);
  if (found == m_connections.end()) {
    return;
  }
  auto* write = new WriteRequest{{}, bytes};
  write->request.data = write;
  const uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
  auto* stream = reinterpret_cast<uv_stream_t*>(&found->second->handle);
  const auto on_written = [](uv_write_t* request, int) { delete static_cast<WriteRequest*>(request->data); };
  if (uv_write(&write->request, stream, &buffer, 1, on_written) != 0) {
    delete write;
  }
}

void StoreStandIn::close(ConnectionNumber number) {
  const auto found = m_connections.find(number);
  if (found == m_connections.end()) {
    return;
  }
  auto* handle = reinterpret_cast<uv_handle_t*>(&found->second->handle);
  m_watches.erase(number);
  m_connections.erase(found);
  uv_close(handle, [](uv_handle_t* closed) { delete static_cast<Connection*>(closed->data); });
}

std::string StoreStandIn::range(const std::string& body) const {
  const Json request = Json::parse(body);
  const std::string key = decode_field(request, "key");
  Json answer = {{"header", header(m_revision)}};
  const auto found = m_entries.find(key);
  // As in the JSON encoding of protocol buffers, fields with their default value are omitted.
  if (found != m_entries.end()) {
    answer["kvs"] = Json::array({{{"key", base64_encode(key)},
                                  {"value", base64_encode(found->second.value)},
                                  {"mod_revision", std::to_string(found->second.modified)}}});
    answer["count"] = "1";
  }
  return answer.dump();
}

std::string StoreStandIn::transact(const std::string& body) {
  const Json request = Json::parse(body);
  bool succeeded = true;
  for (const Json& compare : request.at("compare")) {
    const auto found = m_entries.find(decode_field(compare, "key"));
    const std::int64_t modified = found == m_entries.end() ? 0 : found->second.modified;
    succeeded = succeeded && compare.at("target") == "MOD" && compare.at("result") == "EQUAL" &&
                compare.at("mod_revision") == std::to_string(modified);
  }
  Json responses = Json::array();
  for (const Json& operation : request.at(succeeded ? "success" : "failure")) {
    if (operation.contains("request_put")) {
      const Json& change = operation.at("request_put");
      put(decode_field(change, "key"), decode_field(change, "value"));
      responses.push_back({{"response_put", {{"header", header(m_revision)}}}});
    } else {
      responses.push_back({{"response_range", Json::parse(range(operation.at("request_range").dump()))}});
    }
  }
  Json answer = {{"header", header(m_revision)}, {"responses", std::move(responses)}};
  if (succeeded) {
    answer["succeeded"] = true;
  }
  return answer.dump();
}

void StoreStandIn::start_watch(ConnectionNumber number, const std::string& body) {
  std::string key;
  std::int64_t from = 0;
  try {
    const Json create = Json::parse(body).at("create_request");
    key = decode_field(create, "key");
    from = std::stoll(create.value("start_revision", "0"));
  } catch (const std::exception& error) {
    answer(number, {400, Json{{"error", error.what()}, {"code", 3}}.dump()});
    return;
  }
  send(number, "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");
  m_watches[number] = key;
  if (m_watches_silent) {
    return;
  }
  send_watch_line(number, Json{{"result", {{"header", header(m_revision)}, {"created", true}}}}.dump());
  const std::int64_t oldest = m_history.empty() ? m_revision + 1 : m_history.front().revision;
  if (from > 0 && from < oldest && from <= m_revision && oldest > 2) {
    const Json result = {
        {"header", header(m_revision)}, {"canceled", true}, {"compact_revision", std::to_string(oldest)}};
    send_watch_line(number, Json{{"result", result}}.dump());
    return;
  }
  for (const Change& change : m_history) {
    if (from > 0 && change.revision >= from && change.key == key) {
      send_change(number, change);
    }
  }
}

void StoreStandIn::put(const std::string& key, const std::string& value) {
  record(key, value);
  m_entries[key] = {value, m_revision};
}

void StoreStandIn::remove(const std::string& key) {
  record(key, std::nullopt);
  m_entries.erase(key);
}

std::optional<std::string> StoreStandIn::value(const std::string& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? std::nullopt : std::optional(found->second.value);
}

void StoreStandIn::record(const std::string& key, std::optional<std::string> value) {
  m_history.push_back({++m_revision, key, std::move(value)});
  if (m_history.size() > kMaxHistory) {
    m_history.pop_front();
  }
  for (const auto& [number, watched] : m_watches) {
    if (watched == key && !m_watches_silent) {
      send_change(number, m_history.back());
    }
  }
}

void StoreStandIn::send_change(ConnectionNumber number, const Change& change) {
  Json entry = {{"key", base64_encode(change.key)}, {"mod_revision", std::to_string(change.revision)}};
  Json event;
  if (change.value.has_value()) {
    entry["value"] = base64_encode(*change.value);
  } else {
    event["type"] = "DELETE";
  }
  event["kv"] = std::move(entry);
  const Json result = {{"header", header(change.revision)}, {"events", Json::array({event})}};
  send_watch_line(number, Json{{"result", result}}.dump());
}

void StoreStandIn::send_watch_line(ConnectionNumber number, const std::string& line) {
  send(number, chunk(line + "\n"));
}

void StoreStandIn::set_down(bool down) {
  if (down) {
    stop_listening();
  } else if (m_listener == nullptr) {
    listen(m_port);
  }
}

void StoreStandIn::stop_listening() {
  if (m_listener == nullptr) {
    return;
  }
  uv_close(reinterpret_cast<uv_handle_t*>(m_listener),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
  m_listener = nullptr;
  while (!m_connections.empty()) {
    close(m_connections.begin()->first);
  }
}

void StoreStandIn::drop_watches() {
  while (!m_watches.empty()) {
    close(m_watches.begin()->first);
  }
}

bool StoreStandIn::run_command(const std::string& line) {
  std::istringstream words(line);
  std::string command;
  std::string argument;
  std::string value;
  words >> command >> argument;
  std::getline(words >> std::ws, value);
  const bool on = argument == "on";
  std::uint64_t number = 0;
  std::from_chars(argument.data(), argument.data() + argument.size(), number);
  const std::map<std::string, std::function<void()>> commands = {
      {"put", [&] { put(argument, value); }},
      {"remove", [&] { remove(argument); }},
      {"down", [&] { set_down(true); }},
      {"up", [&] { set_down(false); }},
      {"delay", [&] { set_delay(number); }},
      {"lose", [&] { lose_answers(number); }},
      {"silent_watches", [&] { set_watches_silent(on); }},
      {"garbage", [&] { set_invalid_json(on); }},
      {"not_http", [&] { set_invalid_http(on); }},
      {"drop_watches", [&] { drop_watches(); }},
      {"compact", [&] { compact(); }},
  };
  const auto found = commands.find(command);
  if (found == commands.end()) {
    return false;
  }
  found->second();
  return true;
}

}  // namespace teaselrudder::testing
