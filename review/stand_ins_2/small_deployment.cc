// Stand-ins of a small deployment (store, platform, three members, clients) around real host processes, and the
// timelines of three cases of the review: "odd_entry", "slow_reader" and "removed". See the claim.txt of the cases.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Json = nlohmann::json;
using Millis = std::int64_t;

// Figures of the site ripewell-ops, from DEPLOY.md and SYSTEM.md.
constexpr int kHosts = 6;
constexpr int kMembers = 3;
constexpr int kClients = 24;
constexpr Millis kHeartbeat = 1200;
constexpr Millis kEntryLifetime = 3 * kHeartbeat;
constexpr Millis kPromotionTime = 600;
constexpr Millis kRecoveryTime = 12000;
constexpr Millis kClientDeadline = 1500;

// Timeline in ms since the start.
constexpr Millis kOddEntryAt = 4000;
constexpr Millis kBeforeFrom = 6000;
constexpr Millis kCrashAt = 16000;
constexpr Millis kKillAt = 16300;
constexpr Millis kRestartAt = 17300;
constexpr Millis kAfterFrom = kRestartAt + kRecoveryTime + 500;
constexpr Millis kEndAt = kAfterFrom + 10000;

// The case of the removed machines: four of six, one after the other. All processes are killed while the last one
// stops.
constexpr int kRemovedHosts = 4;
constexpr Millis kRemovalGap = 1300;
constexpr Millis kBalancerNotice = 2200;
constexpr Millis kAllKilledAt = kCrashAt + kRemovedHosts * kRemovalGap + 300;
constexpr Millis kLeftRestartAt = kAllKilledAt + 1000;

// The case of the slow reader: its timeline, its link (small windows, about 20 Mbit/s), and the long answer.
constexpr Millis kReaderOpensAt = 5000;
constexpr Millis kTermAt = 6000;
constexpr Millis kLongReadAt = 8150;
constexpr Millis kReaderEndAt = 13000;
constexpr Millis kReaderTimeout = 2000;
constexpr Millis kReaderPause = 3;
constexpr std::size_t kReaderBytes = 8192;
constexpr std::size_t kReaderTail = 300;
constexpr int kReaderBuffer = 8192;
constexpr Millis kLongWork = 100;
constexpr int kLongRows = 60;
constexpr std::size_t kLongRowBytes = 65536;

Millis clock_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Millis wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string encode_base64(const std::string& bytes) {
  constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t start = 0; start < bytes.size(); start += 3) {
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      bits = (bits << 8U) | (start + index < bytes.size() ? static_cast<std::uint8_t>(bytes[start + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += start + index > bytes.size() ? '=' : kDigits[(bits >> (18U - 6U * index)) & 63U];
    }
  }
  return text;
}

std::string decode_base64(const std::string& text) {
  constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char digit : text) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> count) & 255U);
    }
  }
  return bytes;
}

std::string take_word(std::string& line) {
  const std::size_t blank = line.find(' ');
  std::string word = line.substr(0, blank);
  line = blank == std::string::npos ? "" : line.substr(blank + 1);
  return word;
}

int open_socket() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Returns a listening descriptor on a free loopback port and stores the port.
int open_listener(std::uint16_t& port) {
  const int descriptor = open_socket();
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof(address);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(descriptor, 256) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::cerr << "cannot listen\n";
    std::exit(2);
  }
  port = ntohs(address.sin_port);
  return descriptor;
}

/// A port that was free a moment ago and on which nobody listens.
std::uint16_t free_port() {
  std::uint16_t port = 0;
  close(open_listener(port));
  return port;
}

/// A connection of the event loop. `on_input` consumes what it can use of `input`.
struct Stream {
  int descriptor = -1;
  std::string input;
  std::string output;
  bool ends_after_output = false;
  bool is_closed = false;
  /// Bytes that are read at once, and the pause between two reads; a slow link.
  std::size_t read_bytes = 65536;
  Millis read_pause = 0;
  Millis next_read = 0;
  std::function<void()> on_input;
  std::function<void()> on_end;
};

/// A poll loop over listeners and streams.
class Loop {
 public:
  using Accept = std::function<void(const std::shared_ptr<Stream>&)>;

  void listen_on(int descriptor, Accept accept) { m_listeners.emplace_back(descriptor, std::move(accept)); }

  std::shared_ptr<Stream> add(int descriptor) {
    auto stream = std::make_shared<Stream>();
    stream->descriptor = descriptor;
    m_streams.push_back(stream);
    return stream;
  }

  std::shared_ptr<Stream> connect_to(std::uint16_t port, int receive_buffer = 0) {
    const int descriptor = open_socket();
    if (receive_buffer > 0) {
      setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      close(descriptor);
      return nullptr;
    }
    return add(descriptor);
  }

  static void end(Stream& stream) {
    if (!stream.is_closed) {
      stream.is_closed = true;
      close(stream.descriptor);
    }
  }

  void run_once(int timeout_ms) {
    std::erase_if(m_streams, [](const auto& stream) { return stream->is_closed; });
    std::vector<pollfd> polled;
    for (const auto& [descriptor, accept] : m_listeners) {
      polled.push_back({descriptor, POLLIN, 0});
    }
    const std::vector<std::shared_ptr<Stream>> streams = m_streams;
    for (const auto& stream : streams) {
      const int events = (clock_ms() >= stream->next_read ? POLLIN : 0) | (stream->output.empty() ? 0 : POLLOUT);
      polled.push_back({stream->descriptor, static_cast<std::int16_t>(events), 0});
    }
    poll(polled.data(), polled.size(), timeout_ms);
    for (std::size_t index = 0; index < m_listeners.size(); ++index) {
      if (polled[index].revents != 0) {
        accept_all(m_listeners[index]);
      }
    }
    for (std::size_t index = 0; index < streams.size(); ++index) {
      serve(*streams[index], polled[m_listeners.size() + index].revents);
    }
  }

 private:
  void accept_all(const std::pair<int, Accept>& listener) {
    while (true) {
      const int descriptor = accept4(listener.first, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      listener.second(add(descriptor));
    }
  }

  static void serve(Stream& stream, int events) {
    if (stream.is_closed) {
      return;
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && clock_ms() >= stream.next_read) {
      read_from(stream);
    }
    if (stream.is_closed || stream.output.empty()) {
      return;
    }
    const ssize_t sent = send(stream.descriptor, stream.output.data(), stream.output.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      stream.output.erase(0, static_cast<std::size_t>(sent));
    }
    if (stream.output.empty() && stream.ends_after_output) {
      end(stream);
    }
  }

  static void read_from(Stream& stream) {
    stream.next_read = clock_ms() + stream.read_pause;
    std::string buffer(stream.read_bytes, '\0');
    const ssize_t count = recv(stream.descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
      stream.input.append(buffer, 0, static_cast<std::size_t>(count));
      if (stream.on_input) {
        stream.on_input();
      }
      return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    end(stream);
    if (stream.on_end) {
      stream.on_end();
    }
  }

  std::vector<std::pair<int, Accept>> m_listeners;
  std::vector<std::shared_ptr<Stream>> m_streams;
};

/// A request of a host to the store or the platform.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

/// Takes a complete HTTP request from `input`.
std::optional<Request> take_request(std::string& input) {
  const std::size_t end = input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Request request;
  std::istringstream head(input.substr(0, end));
  std::string line;
  std::string target;
  head >> request.method >> target;
  std::getline(head, line);
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    const std::size_t last = line.find_last_not_of('\r');
    request.headers[lower(line.substr(0, colon))] = line.substr(colon + 2, last - colon - 1);
  }
  const auto length = request.headers.find("content-length");
  const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
  if (input.size() < end + 4 + size) {
    return std::nullopt;
  }
  request.body = input.substr(end + 4, size);
  input.erase(0, end + 4 + size);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  std::istringstream fields(mark == std::string::npos ? "" : target.substr(mark + 1));
  while (std::getline(fields, line, '&')) {
    const std::size_t equals = line.find('=');
    request.query[line.substr(0, equals)] = line.substr(equals + 1);
  }
  return request;
}

void respond(Stream& stream, int status, const Json& body) {
  const std::string text = body.dump();
  stream.output += "HTTP/1.1 " + std::to_string(status) +
                   " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                   "\r\nConnection: close\r\n\r\n" + text;
  stream.ends_after_output = true;
}

/// The platform's metadata store.
class Store {
 public:
  void put(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = m_items[key];
    item.value = value;
    item.rev = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_history.push_back({{"key", key},
                         {"value", encode_base64(value)},
                         {"rev", item.rev},
                         {"created", item.created},
                         {"lease", lease}});
  }

  void remove(const std::string& key) {
    if (m_items.erase(key) > 0) {
      m_history.push_back({{"key", key}, {"rev", ++m_revision}, {"removed", true}});
    }
  }

  void on_tick(Millis now) {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
      if (lease.expires_at <= now) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      end_lease(id);
    }
    answer_watches(now);
  }

  void serve(const std::shared_ptr<Stream>& stream, const Request& request, Millis now) {
    if (request.path == "/kv-range") {
      respond(*stream, 200, list(request.query));
    } else if (request.path == "/kv-watch") {
      m_watches.push_back(
          {stream, std::stoll(request.query.at("after")), now + std::stoll(request.query.at("wait_ms"))});
    } else if (request.path == "/kv-txn") {
      transact(*stream, Json::parse(request.body));
    } else if (request.path == "/kv-lease") {
      const Millis ttl = Json::parse(request.body).at("ttl_ms").get<Millis>();
      m_leases[++m_last_lease] = {ttl, now + ttl};
      respond(*stream, 200, {{"lease", m_last_lease}, {"ttl_ms", ttl}});
    } else {
      serve_lease(*stream, request, now);
    }
  }

 private:
  struct Item {
    std::string value;
    std::int64_t rev = 0;
    std::int64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Millis ttl = 0;
    Millis expires_at = 0;
  };
  struct Watch {
    std::shared_ptr<Stream> stream;
    std::int64_t after = 0;
    Millis deadline = 0;
  };

  Json list(const std::map<std::string, std::string>& query) const {
    constexpr std::size_t kPage = 500;
    Json items = Json::array();
    const auto after = query.find("after");
    bool more = false;
    for (auto item = after == query.end() ? m_items.begin() : m_items.upper_bound(after->second); item != m_items.end();
         ++item) {
      if (items.size() == kPage) {
        more = true;
        break;
      }
      items.push_back({{"key", item->first},
                       {"value", encode_base64(item->second.value)},
                       {"rev", item->second.rev},
                       {"created", item->second.created},
                       {"lease", item->second.lease}});
    }
    return {{"items", items}, {"has_more", more}, {"as_of", m_revision}};
  }

  void transact(Stream& stream, const Json& request) {
    Json current = Json::array();
    bool matches = true;
    for (const Json& row : request.at("expected")) {
      const auto item = m_items.find(row.at("key").get<std::string>());
      const std::int64_t rev = item == m_items.end() ? 0 : item->second.rev;
      matches = matches && rev == row.at("rev").get<std::int64_t>();
      if (item != m_items.end()) {
        current.push_back({{"key", item->first},
                           {"value", encode_base64(item->second.value)},
                           {"rev", rev},
                           {"created", item->second.created},
                           {"lease", item->second.lease}});
      }
    }
    if (!matches) {
      respond(stream, 412, {{"items", current}});
      return;
    }
    for (const Json& row : request.at("writes")) {
      const std::uint64_t lease = row.at("lease").get<std::uint64_t>();
      if (lease != 0 && !m_leases.contains(lease)) {
        respond(stream, 404, Json::object());
        return;
      }
      put(row.at("key").get<std::string>(), decode_base64(row.at("value").get<std::string>()), lease);
    }
    respond(stream, 200, {{"rev", m_revision}});
  }

  void serve_lease(Stream& stream, const Request& request, Millis now) {
    const std::uint64_t id = std::stoull(request.path.substr(request.path.rfind('/') + 1));
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
      respond(stream, 404, Json::object());
      return;
    }
    if (request.path.starts_with("/kv-keep/")) {
      lease->second.expires_at = now + lease->second.ttl;
    } else {
      end_lease(id);
    }
    respond(stream, 200, Json::object());
  }

  void end_lease(std::uint64_t id) {
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      remove(key);
    }
  }

  void answer_watches(Millis now) {
    std::erase_if(m_watches, [&](const Watch& watch) {
      if (watch.stream->is_closed) {
        return true;
      }
      if (m_revision <= watch.after && now < watch.deadline) {
        return false;
      }
      Json events = Json::array();
      for (const Json& event : m_history) {
        if (event.at("rev").get<std::int64_t>() > watch.after) {
          events.push_back(event);
        }
      }
      respond(*watch.stream, 200, {{"events", events}, {"as_of", m_revision}});
      return true;
    });
  }

  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Lease> m_leases;
  std::vector<Json> m_history;
  std::vector<Watch> m_watches;
  std::int64_t m_revision = 1;
  std::uint64_t m_last_lease = 0;
};

/// One database member. `received` is the number of its newest commit.
struct Member {
  std::string id;
  std::string zone;
  std::uint16_t port = 0;
  bool alive = true;
  bool is_primary = false;
  std::uint64_t term = 1;
  std::uint64_t received = 0;
  std::uint64_t paused_below = 0;
  std::uint64_t seq = 0;
  Millis born = 0;
  Millis next_beat = 0;
  Millis last_beat = 0;
  bool is_listed = false;
};

/// State of a connection to a member.
struct MemberSession {
  bool started = false;
  char state = 'I';
  bool is_plain = false;
  std::uint64_t writes = 0;
};

/// The deployment with its timeline.
class Deployment {
 public:
  Deployment(bool trouble, const std::string& record) : m_trouble(trouble), m_record(record), m_started(clock_ms()) {
    m_folder = std::filesystem::temp_directory_path() / ("odd-entry-" + std::to_string(getpid()));
    std::filesystem::create_directories(m_folder);
    std::uint16_t port = 0;
    m_loop.listen_on(open_listener(port), [this](const auto& stream) { accept_platform(stream); });
    m_platform_port = port;
    start_members();
    write_configuration();
    for (int host = 0; host < kHosts; ++host) {
      write_settings(host);
    }
  }

  ~Deployment() {
    kill_hosts();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  int run_odd_entry() {
    start_hosts();
    m_clients.resize(kClients);
    while (now() < m_end_at) {
      m_loop.run_once(2);
      on_tick();
      advance_timeline(now());
      for (std::size_t index = 0; index < m_clients.size(); ++index) {
        drive(index, now());
      }
    }
    return judge();
  }

  /// Most machines are removed as planned before the final fault.
  int run_removed() {
    m_before_to = kAllKilledAt;
    m_after_from = kLeftRestartAt + kRecoveryTime + 500;
    m_end_at = m_after_from + 10000;
    start_hosts();
    m_clients.resize(kClients);
    while (now() < m_end_at) {
      m_loop.run_once(2);
      on_tick();
      advance_removal(now());
      for (std::size_t index = 0; index < m_clients.size(); ++index) {
        drive(index, now());
      }
    }
    return judge();
  }

  /// A caller reads a long answer over a slow link while its host is stopped as planned.
  int run_slow_reader() {
    start_hosts();
    while (now() < kReaderEndAt) {
      m_loop.run_once(2);
      on_tick();
      advance_reader(now());
    }
    return judge_reader();
  }

 private:
  struct Host {
    pid_t pid = -1;
    std::uint16_t front = 0;
    std::string settings;
    /// When the machine was removed for good; zero if it was not.
    Millis removed_at = 0;
  };
  struct Client {
    std::shared_ptr<Stream> stream;
    bool is_ready = false;
    Millis next_at = 0;
    Millis sent_at = -1;
    std::string request;
    bool is_signed = false;
    std::uint64_t sessions = 0;
  };
  struct Window {
    int sent = 0;
    int served = 0;
  };

  Millis now() const { return clock_ms() - m_started; }

  void note(const std::string& text) { m_record << now() << " " << text << "\n"; }

  void start_members() {
    const std::vector<std::string> zones = {"toledo-dc", "detroit-dc", "cleveland-dc"};
    for (int index = 0; index < kMembers; ++index) {
      Member member;
      member.id = "i-" + std::to_string(4100 + index * 17) + "c2";
      member.zone = zones[static_cast<std::size_t>(index)];
      member.is_primary = index == 0;
      member.born = wall_ms();
      m_members.push_back(member);
    }
    for (int index = 0; index < kMembers; ++index) {
      Member& member = m_members[static_cast<std::size_t>(index)];
      m_loop.listen_on(open_listener(member.port),
                       [this, index](const auto& stream) { accept_member(static_cast<std::size_t>(index), stream); });
      beat(member);
    }
  }

  void write_configuration() {
    Json routes = Json::array();
    for (const auto& [name, kind] : std::map<std::string, std::string>{
             {"adjust", "primary"}, {"status", "bounded_staleness"}, {"history", "read_your_writes"}}) {
      routes.push_back({{"name", name},
                        {"host", name},
                        {"kind", kind},
                        {"service", "ripen-db"},
                        {"timeout_ms", 800},
                        {"slo_ms", 250},
                        {"priority", 1},
                        {"max_staleness_ms", 1500}});
    }
    const Json services = Json::array({{{"name", "ripen-db"}, {"max_conns", 22}, {"sync_replicas", 1}}});
    const Json configuration = {
        {"version", 3}, {"routes", routes}, {"services", services}, {"limits", {{"tx_idle_ms", 5000}}}};
    m_store.put("op/config", configuration.dump(), 0);
  }

  void write_settings(int index) {
    const std::vector<std::string> zones = {"toledo-dc",  "toledo-dc",    "detroit-dc",
                                            "detroit-dc", "cleveland-dc", "buffalo-dc"};
    const auto place = static_cast<std::size_t>(index);
    Host host;
    host.front = free_port();
    host.settings = (m_folder / ("front-" + std::to_string(index) + ".yaml")).string();
    const std::uint16_t ready = free_port();
    const std::uint16_t control = free_port();
    const std::uint16_t reports = free_port();
    std::ofstream file(host.settings);
    file << "node: \"front-" << index << "\"\nrole: \"front\"\nclass: \"front\"\nip: \"127.0.0.1\"\nzone: \""
         << zones[place] << "\"\nregion: \"great-lakes\"\nlisten:\n  front: \"127.0.0.1:" << host.front
         << "\"\n  ready: \"127.0.0.1:" << ready << "\"\n  control: \"127.0.0.1:" << control << "\"\nport_range:\n  - "
         << reports << "\n  - " << reports
         << "\nseeds: []\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4300\n"
         << "heartbeat_ms: 1200\nbounds:\n  stability_window_ms: 4000\n  drain_ms: 7000\n  grace_s: 6\n"
         << "  config_apply_ms: 3000\n  recover_s: 12\n  require_fence: true\nplatform:\n  addr: \"127.0.0.1:"
         << m_platform_port << "\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
         << "  value_bytes: 1048576\n  ttl_min_ms: 1000\ncloud:\n  addr: \"127.0.0.1:" << m_platform_port
         << "\"\n  duties:\n    - \"failover\"\n  duty_per_s: 50.0\n";
    m_hosts.push_back(host);
  }

  void start_hosts() {
    for (Host& host : m_hosts) {
      if (host.removed_at > 0) {
        continue;
      }
      const pid_t pid = fork();
      if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const std::string log = host.settings + ".log";
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("TEASELRUDDER_SETTINGS", host.settings.c_str(), 1);
        execl("target/teaselrudder-platform", "target/teaselrudder-platform", nullptr);
        _exit(127);
      }
      host.pid = pid;
    }
    note("all host processes start");
  }

  void kill_hosts() {
    for (Host& host : m_hosts) {
      if (host.pid > 0) {
        kill(host.pid, SIGKILL);
        waitpid(host.pid, nullptr, 0);
        host.pid = -1;
      }
    }
  }

  void beat(Member& member) {
    ++member.seq;
    member.is_listed = true;
    member.last_beat = now();
    member.next_beat = now() + kHeartbeat;
    const Json entry = {{"service", "ripen-db"},
                        {"addr", "127.0.0.1:" + std::to_string(member.port)},
                        {"zone", member.zone},
                        {"version", "4.2"},
                        {"slots", 3},
                        {"state", "ready"},
                        {"warmup_left_ms", 0},
                        {"seq", member.seq},
                        {"born", member.born},
                        {"db_role", member.is_primary ? "primary" : "replica"}};
    m_store.put("servers/" + member.id, entry.dump(), 0);
  }

  /// Writes an entry that lacks fields: version, warmup_left_ms, seq, born and db_role.
  void write_odd_entry() {
    const Json entry = {{"service", "ripen-db"},
                        {"addr", "127.0.0.1:" + std::to_string(free_port())},
                        {"zone", "buffalo-dc"},
                        {"slots", 3},
                        {"state", "ready"}};
    m_store.put("servers/i-other-writer", entry.dump(), 0);
    note("another writer puts servers/i-other-writer " + entry.dump());
  }

  void crash(Member& member) {
    member.alive = false;
    for (const auto& [stream, index] : m_member_streams) {
      if (&m_members[index] == &member) {
        Loop::end(*stream);
      }
    }
    note("primary " + member.id + " crashes");
  }

  void on_tick() {
    const Millis at = now();
    for (Member& member : m_members) {
      if (member.alive && at >= member.next_beat) {
        beat(member);
      } else if (!member.alive && member.is_listed && at >= member.last_beat + kEntryLifetime) {
        member.is_listed = false;
        m_store.remove("servers/" + member.id);
        note("the entry of " + member.id + " is removed");
      }
    }
    std::erase_if(m_member_streams, [](const auto& entry) { return entry.first->is_closed; });
    if (m_promotion.has_value() && at >= m_promotion->second) {
      lead(m_members[m_promotion->first]);
      m_promotion.reset();
    }
    m_store.on_tick(at);
  }

  void advance_timeline(Millis at) {
    if (m_step == 0 && at >= kOddEntryAt) {
      m_step = 1;
      if (m_trouble) {
        write_odd_entry();
      }
    } else if (m_step == 1 && at >= kCrashAt) {
      m_step = 2;
      crash(m_members[0]);
    } else if (m_step == 2 && at >= kKillAt) {
      m_step = 3;
      kill_hosts();
      note("all host processes are killed");
    } else if (m_step == 3 && at >= kRestartAt) {
      m_step = 4;
      start_hosts();
    }
  }

  void advance_removal(Millis at) {
    for (std::size_t index = 0; m_trouble && index < kRemovedHosts; ++index) {
      Host& host = m_hosts[index];
      if (host.removed_at == 0 && at >= kCrashAt + static_cast<Millis>(index) * kRemovalGap) {
        host.removed_at = at;
        kill(host.pid, SIGTERM);
        note("front-" + std::to_string(index) + " gets SIGTERM and is removed");
      }
      if (host.removed_at > 0 && host.pid > 0 && waitpid(host.pid, nullptr, WNOHANG) == host.pid) {
        host.pid = -1;
        note("the process of front-" + std::to_string(index) + " has ended");
      }
    }
    if (m_step == 0 && at >= kAllKilledAt) {
      m_step = 1;
      kill_hosts();
      note("all host processes are killed");
    } else if (m_step == 1 && at >= kLeftRestartAt) {
      m_step = 2;
      start_hosts();
    }
  }

  /// Returns whether the balancer sends new connections to the host.
  bool is_in_rotation(const Host& host, Millis at) const {
    return host.removed_at == 0 || at < host.removed_at + kBalancerNotice;
  }

  void accept_platform(const std::shared_ptr<Stream>& stream) {
    const std::weak_ptr<Stream> weak = stream;
    stream->on_input = [this, weak] {
      const auto connection = weak.lock();
      while (const auto request = take_request(connection->input)) {
        if (request->path == "/promote") {
          promote(*connection, *request);
        } else {
          m_store.serve(connection, *request, now());
        }
      }
    };
  }

  void promote(Stream& stream, const Request& request) {
    const std::uint64_t token = std::stoull(request.headers.at("x-fencing-token"));
    const std::string id = Json::parse(request.body).at("id").get<std::string>();
    const auto member =
        std::find_if(m_members.begin(), m_members.end(), [&id](const Member& known) { return known.id == id; });
    const bool accepted = token >= m_newest_token && member != m_members.end() && member->alive;
    note("promote " + id + " by " + request.headers.at("x-lease-holder") + " token " + std::to_string(token) +
         (accepted ? " accepted" : " rejected"));
    m_newest_token = std::max(m_newest_token, token);
    if (accepted && !member->is_primary) {
      m_promotion = {static_cast<std::size_t>(member - m_members.begin()), now() + kPromotionTime};
    }
    respond(stream, accepted ? 200 : 409, Json::object());
  }

  void lead(Member& next) {
    std::uint64_t term = 0;
    for (const Member& member : m_members) {
      term = std::max(term, member.term);
    }
    for (Member& member : m_members) {
      member.is_primary = &member == &next;
      member.term = term + 1;
      member.paused_below = 0;
      member.received = std::min(member.received, next.received);
      member.next_beat = 0;
    }
    note(next.id + " leads term " + std::to_string(next.term));
  }

  void accept_member(std::size_t index, const std::shared_ptr<Stream>& stream) {
    if (!m_members[index].alive) {
      Loop::end(*stream);
      return;
    }
    m_member_streams.emplace_back(stream, index);
    auto session = std::make_shared<MemberSession>();
    const std::weak_ptr<Stream> weak = stream;
    stream->on_input = [this, index, session, weak] {
      const auto connection = weak.lock();
      std::size_t end = connection->input.find("\r\n");
      while (end != std::string::npos && !connection->is_closed) {
        const std::string line = connection->input.substr(0, end);
        connection->input.erase(0, end + 2);
        on_member_line(m_members[index], *session, *connection, line);
        end = connection->input.find("\r\n");
      }
    };
  }

  static std::string position(const Member& member) {
    return std::to_string(member.term) + "." + std::to_string(member.received);
  }

  static void answer(const Member& member, const MemberSession& session, Stream& stream, const std::string& text) {
    stream.output += text + "\r\nREADY " + std::string(1, session.state) + " " + position(member) + "\r\n";
  }

  void on_member_line(Member& member, MemberSession& session, Stream& stream, std::string line) {
    const std::string word = take_word(line);
    if (word == "TERMINATE") {
      Loop::end(stream);
      return;
    }
    if (!session.started) {
      const std::string service = take_word(line);
      take_word(line);
      if (word != "STARTUP" || service != "ripen-db" || (!line.empty() && line != member.id)) {
        stream.output += "ERROR WRONGNODE " + member.id + "\r\n";
        stream.ends_after_output = true;
        return;
      }
      session.started = true;
      stream.output += "READY I " + position(member) + "\r\n";
      return;
    }
    const std::string id = take_word(line);
    run(member, session, stream, id, line);
  }

  void run(Member& member, MemberSession& session, Stream& stream, const std::string& id, std::string text) {
    std::string verb = take_word(text);
    if (verb == "AFTER") {
      const std::string wanted = take_word(text);
      const std::size_t dot = wanted.find('.');
      verb = take_word(text);
      const std::uint64_t term = std::stoull(wanted.substr(0, dot));
      const std::uint64_t number = std::stoull(wanted.substr(dot + 1));
      if (term > member.term || (term == member.term && number > member.received)) {
        session.state = verb == "BEGIN" ? 'E' : session.state;
        answer(member, session, stream, "ERROR LAGGING " + member.id);
        return;
      }
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE") {
      control(member, verb, text);
      answer(member, session, stream,
             std::string("ROW ") + (member.is_primary ? "primary " : "replica ") + std::to_string(member.term) + " " +
                 position(member) + " " + std::to_string(member.paused_below) + " 8 0 4\r\nCOMPLETE -");
    } else if (verb == "READ" && text == "long") {
      note(member.id + " runs " + id + " " + verb + " " + text);
      std::string rows;
      for (int row = 0; row < kLongRows; ++row) {
        rows += "ROW " + std::string(kLongRowBytes, 'x') + "\r\n";
      }
      m_long_answer = rows + "COMPLETE " + member.id + ".r" + std::to_string(++m_signature) + "\r\nREADY I " +
                      position(member) + "\r\n";
      m_long_answer_at = now() + kLongWork;
      m_long_stream = &stream;
    } else if (verb == "READ" || verb == "EXECUTE") {
      note(member.id + " runs " + id + " " + verb);
      answer(member, session, stream, "ROW row\r\nCOMPLETE " + member.id + ".r" + std::to_string(++m_signature));
    } else if (verb == "WRITE") {
      write(member, session, stream, id);
    } else if (verb == "BEGIN") {
      begin(member, session, stream, text);
    } else if (verb == "COMMIT" || verb == "ROLLBACK") {
      session.state = 'I';
      answer(member, session, stream,
             verb == "COMMIT" ? "COMPLETE " + member.id + ".c" + std::to_string(++m_signature) : "COMPLETE -");
    } else {
      answer(member, session, stream, "COMPLETE -");
    }
  }

  static void control(Member& member, const std::string& verb, const std::string& text) {
    const std::uint64_t term = text.empty() ? 0 : std::stoull(text);
    if (verb == "PAUSE" && term > member.term && !member.is_primary) {
      member.paused_below = std::max(member.paused_below, term);
    } else if (verb == "RESUME") {
      member.paused_below = 0;
    } else if (verb == "DEMOTE" && term > member.term) {
      member.is_primary = false;
    }
  }

  static void begin(Member& member, MemberSession& session, Stream& stream, const std::string& text) {
    if (text != "READ" && !member.is_primary) {
      session.state = 'E';
      answer(member, session, stream, "ERROR READONLY " + member.id);
      return;
    }
    session.state = 'T';
    answer(member, session, stream, "COMPLETE -");
  }

  /// Runs a single write. The clients send no writes in transactions.
  void write(Member& member, MemberSession& session, Stream& stream, const std::string& id) {
    if (!member.is_primary) {
      answer(member, session, stream, "ERROR READONLY " + member.id);
      return;
    }
    bool is_received = false;
    for (const Member& replica : m_members) {
      is_received = is_received || (&replica != &member && replica.alive && replica.paused_below == 0);
    }
    if (!is_received) {
      return;
    }
    ++member.received;
    for (Member& replica : m_members) {
      if (replica.alive && replica.paused_below == 0) {
        replica.received = member.received;
      }
    }
    note(member.id + " runs " + id + " WRITE, commit " + position(member));
    answer(member, session, stream, "COMPLETE " + member.id + ".w" + std::to_string(++m_signature));
  }

  Window* window_at(Millis sent_at) {
    if (sent_at >= kBeforeFrom && sent_at < m_before_to - kClientDeadline) {
      return &m_before;
    }
    return sent_at >= m_after_from && sent_at < m_end_at - kClientDeadline ? &m_after : nullptr;
  }

  void finish(Client& client, bool served, const std::string& how) {
    if (Window* const window = client.sent_at < 0 ? nullptr : window_at(client.sent_at); window != nullptr) {
      ++window->sent;
      window->served += served ? 1 : 0;
    }
    if (client.sent_at >= 0) {
      note("answer " + client.request + " " + how);
    }
    client.sent_at = -1;
  }

  void drive(std::size_t index, Millis at) {
    Client& client = m_clients[index];
    if (client.sent_at >= 0 && at >= client.sent_at + kClientDeadline) {
      finish(client, false, "none before the deadline");
      Loop::end(*client.stream);
    }
    if (at < client.next_at || client.sent_at >= 0) {
      return;
    }
    client.next_at = at + 200;
    if (client.stream == nullptr || client.stream->is_closed) {
      open_session(index);
    } else if (client.is_ready) {
      send_request(index, at);
    }
  }

  void open_session(std::size_t index) {
    Client& client = m_clients[index];
    const std::vector<std::string> databases = {"adjust", "status", "history"};
    // Each further session goes to the next host, as after a retry.
    std::size_t place = (index + client.sessions++) % m_hosts.size();
    while (!is_in_rotation(m_hosts[place], now())) {
      place = (place + 1) % m_hosts.size();
    }
    const Host& host = m_hosts[place];
    client.is_ready = false;
    client.stream = m_loop.connect_to(host.front);
    if (client.stream == nullptr) {
      // Counts as a request that found no connection.
      client.sent_at = now();
      finish(client, false, "no connection");
      return;
    }
    client.stream->output = "STARTUP " + databases[index % databases.size()] + " u" + std::to_string(index) + "\r\n";
    client.stream->on_input = [this, index] { on_client_input(m_clients[index]); };
    client.stream->on_end = [this, index] {
      Client& ended = m_clients[index];
      if (ended.sent_at < 0 && !ended.is_ready) {
        ended.sent_at = now();
      }
      finish(ended, false, "connection closed");
    };
  }

  void send_request(std::size_t index, Millis at) {
    Client& client = m_clients[index];
    const std::uint64_t number = ++m_last_request;
    client.request = "r" + std::to_string(number);
    client.sent_at = at;
    client.is_signed = false;
    const bool writes = index % 3 == 0 && number % 3 == 0;
    const std::string text = writes ? "WRITE 1a4 data" + std::to_string(number) : "READ 1a4";
    client.stream->output += "QUERY " + client.request + " " + text + "\r\n";
    note("client " + std::to_string(index) + " sends " + client.request + " " + text);
  }

  void on_client_input(Client& client) {
    std::string& input = client.stream->input;
    std::size_t end = input.find("\r\n");
    while (end != std::string::npos) {
      std::string line = input.substr(0, end);
      input.erase(0, end + 2);
      const std::string word = take_word(line);
      if (word == "COMPLETE") {
        client.is_signed = line != "-";
      } else if (word == "ERROR") {
        client.is_signed = false;
        m_last_error = line;
      } else if (word == "READY") {
        client.is_ready = true;
        finish(client, client.is_signed, client.is_signed ? "served" : "ERROR " + m_last_error);
      }
      end = input.find("\r\n");
    }
  }

  void advance_reader(Millis at) {
    if (m_long_stream != nullptr && at >= m_long_answer_at) {
      m_long_stream->output += m_long_answer;
      m_long_stream = nullptr;
      note("the member has answered r1 with " + std::to_string(m_long_answer.size()) + " bytes");
    }
    if (m_step == 0 && at >= kReaderOpensAt) {
      m_step = 1;
      open_reader();
    } else if (m_step == 1 && at >= kTermAt) {
      m_step = 2;
      if (m_trouble) {
        kill(m_hosts[0].pid, SIGTERM);
        note("front-0 gets SIGTERM");
      }
    } else if (m_step == 2 && at >= kLongReadAt) {
      m_step = 3;
      m_reader.sent_at = at;
      m_reader.stream->output += "QUERY r1 READ long\r\n";
      note("client sends r1 READ long");
    }
    if (m_hosts[0].pid > 0 && waitpid(m_hosts[0].pid, nullptr, WNOHANG) == m_hosts[0].pid) {
      m_hosts[0].pid = -1;
      note("the process of front-0 has ended");
    }
  }

  void open_reader() {
    m_reader.stream = m_loop.connect_to(m_hosts[0].front, kReaderBuffer);
    if (m_reader.stream == nullptr) {
      return;
    }
    m_reader.stream->read_bytes = kReaderBytes;
    m_reader.stream->read_pause = kReaderPause;
    m_reader.stream->output = "STARTUP status reader\r\n";
    m_reader.stream->on_input = [this] {
      std::string& input = m_reader.stream->input;
      m_reader_bytes += input.size() - m_reader_tail;
      if (m_reader.sent_at >= 0 && !m_reader.is_signed && input.ends_with("\r\n") &&
          input.find("READY I ") != std::string::npos) {
        m_reader.is_signed = input.find("COMPLETE i-") != std::string::npos;
        note("client has the whole answer" + std::string(m_reader.is_signed ? "" : ": " + input));
      }
      input.erase(0, input.size() > kReaderTail ? input.size() - kReaderTail : 0);
      m_reader_tail = input.size();
    };
    m_reader.stream->on_end = [this] {
      m_reader.next_at = now();
      note("the connection of the client ends after " + std::to_string(m_reader_bytes) + " bytes");
    };
  }

  int judge_reader() {
    std::ostringstream text;
    text << "LOST: the client got " << m_reader_bytes << " bytes, "
         << (m_reader.is_signed ? "the complete answer" : "no complete answer");
    if (m_reader.next_at > 0) {
      text << ", and the connection ended " << m_reader.next_at - m_reader.sent_at << " ms after the request";
    }
    note(text.str());
    std::cout << text.str() << "\n";
    if (m_reader.stream == nullptr || m_reader.sent_at < 0 || m_reader_bytes < kLongRowBytes) {
      return 2;
    }
    // The rule counts neither requests that reached the route's timeout nor those still without an end.
    const bool is_cut = m_reader.next_at > 0 && m_reader.next_at < m_reader.sent_at + kReaderTimeout;
    return !m_reader.is_signed && is_cut ? 1 : 0;
  }

  int judge() {
    const auto quarter = [](const Window& window) { return window.sent > 0 && window.served * 4 >= window.sent; };
    std::ostringstream text;
    text << "RECOVER: before the final fault " << m_before.served << " of " << m_before.sent
         << " requests were served, later than " << kRecoveryTime / 1000 << " s after the machines were back "
         << m_after.served << " of " << m_after.sent;
    note(text.str());
    std::cout << text.str() << "\n";
    if (!quarter(m_before) || m_after.sent == 0) {
      std::cout << "the case could not run\n";
      return 2;
    }
    return quarter(m_after) ? 0 : 1;
  }

  bool m_trouble;
  std::ofstream m_record;
  Millis m_started;
  std::filesystem::path m_folder;
  Loop m_loop;
  std::uint16_t m_platform_port = 0;
  Store m_store;
  std::vector<Member> m_members;
  std::vector<std::pair<std::shared_ptr<Stream>, std::size_t>> m_member_streams;
  std::optional<std::pair<std::size_t, Millis>> m_promotion;
  std::uint64_t m_newest_token = 0;
  std::uint64_t m_signature = 0;
  std::vector<Host> m_hosts;
  std::vector<Client> m_clients;
  std::uint64_t m_last_request = 0;
  std::string m_last_error;
  Client m_reader;
  std::string m_long_answer;
  Millis m_long_answer_at = 0;
  Stream* m_long_stream = nullptr;
  std::size_t m_reader_bytes = 0;
  std::size_t m_reader_tail = 0;
  Millis m_before_to = kCrashAt;
  Millis m_after_from = kAfterFrom;
  Millis m_end_at = kEndAt;
  Window m_before;
  Window m_after;
  int m_step = 0;
};

}  // namespace

int main(int count, char** arguments) {
  try {
    signal(SIGPIPE, SIG_IGN);
    const char* const trouble = std::getenv("TROUBLE");
    if (count != 3 || access("target/teaselrudder-platform", X_OK) != 0) {
      std::cerr << "usage: small_deployment CASE RECORD, in the root of the built repository\n";
      return 2;
    }
    Deployment deployment(trouble == nullptr || std::string(trouble) != "0", arguments[2]);
    const std::string name = arguments[1];
    if (name == "removed") {
      return deployment.run_removed();
    }
    return name == "slow_reader" ? deployment.run_slow_reader() : deployment.run_odd_entry();
  } catch (...) {
    return 2;
  }
}
