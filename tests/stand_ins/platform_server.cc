#include "tests/stand_ins/platform_server.h"

#include <sstream>
#include <utility>
#include <vector>

namespace teaselrudder::testing {

namespace {

/// Delay of each answer under PlatformFault::kSlow.
constexpr std::uint64_t kSlowAnswerMs = 300;

std::string percent_decode(const std::string& text) {
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain.push_back(static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
      at += 2;
    } else {
      plain.push_back(text[at]);
    }
  }
  return plain;
}

std::map<std::string, std::string> parse_query_string(const std::string& path) {
  std::map<std::string, std::string> query;
  const std::size_t mark = path.find('?');
  std::istringstream fields(mark == std::string::npos ? "" : path.substr(mark + 1));
  for (std::string field; std::getline(fields, field, '&');) {
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos) {
      query[field.substr(0, equals)] = percent_decode(field.substr(equals + 1));
    }
  }
  return query;
}

std::uint64_t trailing_number(const std::string& path) { return std::stoull(path.substr(path.rfind('/') + 1)); }

}  // namespace

/// A connection from the host. It carries one request at a time.
class PlatformServer::Connection final : public TcpStream {
 public:
  Connection(uv_loop_t* loop, PlatformServer& owner, std::uint64_t number)
      : TcpStream(loop), m_owner(&owner), m_number(number) {}

  std::uint64_t number() const { return m_number; }
  void detach() { m_owner = nullptr; }

  void answer_later(std::string text, std::uint64_t delay_ms) {
    m_delayed = std::move(text);
    start_timer(delay_ms);
  }
  void watch(std::string prefix, std::int64_t revision, std::uint64_t wait_ms) {
    m_watch = {std::move(prefix), revision};
    start_timer(wait_ms);
  }
  void report_changes() {
    if (!m_watch.has_value()) {
      return;
    }
    const auto answer = m_owner->m_store.watch(m_watch->first, m_watch->second, m_owner->m_view);
    if (answer.has_value()) {
      m_watch.reset();
      m_owner->respond(*this, *answer);
    }
  }

 protected:
  void on_data(std::string_view data) override {
    m_input += data;
    while (m_owner != nullptr && !is_closed()) {
      const auto request = take_http_request(m_input);
      if (!request.has_value()) {
        return;
      }
      m_owner->serve(*this, *request);
    }
  }
  void on_timer() override {
    if (m_owner == nullptr) {
      return;
    }
    if (!m_delayed.empty()) {
      send(std::exchange(m_delayed, {}));
    } else if (m_watch.has_value()) {
      m_watch.reset();
      m_owner->respond(*this, {200, {{"events", nlohmann::json::array()}, {"as_of", m_owner->m_store.revision()}}});
    }
  }
  void on_close() override {
    if (m_owner != nullptr) {
      m_owner->m_connections.erase(m_number);
    }
  }

 private:
  PlatformServer* m_owner;
  std::uint64_t m_number;
  std::string m_input;
  std::string m_delayed;
  std::optional<std::pair<std::string, std::int64_t>> m_watch;
};

PlatformServer::PlatformServer(uv_loop_t* loop, InMemoryKvStore& store, InMemoryKvStore::View view,
                               PromotionPort& promotions, Clock clock)
    : m_store(store), m_view(std::move(view)), m_promotions(promotions), m_clock(std::move(clock)) {
  m_listener = new TcpListener(loop, 0, [this, loop](uv_stream_t* listener) {
    auto* const connection = new Connection(loop, *this, ++m_last_connection);
    m_connections[connection->number()] = connection;
    connection->accept_from(listener);
  });
}

PlatformServer::~PlatformServer() {
  m_listener->close();
  const auto connections = std::exchange(m_connections, {});
  for (const auto& [number, connection] : connections) {
    connection->detach();
    connection->close();
  }
}

void PlatformServer::reset_connections() {
  const auto connections = m_connections;
  for (const auto& [number, connection] : connections) {
    connection->close();
  }
}

void PlatformServer::on_store_changed() {
  const auto connections = m_connections;
  for (const auto& [number, connection] : connections) {
    if (m_connections.contains(number)) {
      connection->report_changes();
    }
  }
}

void PlatformServer::serve(Connection& connection, const HttpRequestText& request) {
  if (m_fault == PlatformFault::kSilent) {
    return;
  }
  if (m_fault == PlatformFault::kReset) {
    connection.close();
    return;
  }
  if (m_fault == PlatformFault::kBusy) {
    respond(connection, {503, nlohmann::json::object()});
    return;
  }
  const std::string path = request.path.substr(0, request.path.find('?'));
  const auto query = parse_query_string(request.path);
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const auto field = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  if (path == "/kv-range") {
    respond(connection, m_store.range(field("prefix"), field("after"), m_view));
  } else if (path == "/kv-watch") {
    start_watch(connection, query);
  } else if (path == "/kv-txn") {
    respond(connection, m_store.transact(body), true);
  } else if (path == "/kv-lease") {
    respond(connection, m_store.grant_lease(body, m_clock()), true);
  } else if (path.starts_with("/kv-keep/")) {
    respond(connection, m_store.renew_lease(trailing_number(path), m_clock()));
  } else if (path.starts_with("/kv-lease-end/")) {
    respond(connection, m_store.end_lease(trailing_number(path)));
  } else if (path == "/promote") {
    serve_promotion(connection, request);
  } else {
    respond(connection, {404, nlohmann::json::object()});
  }
}

void PlatformServer::start_watch(Connection& connection, const std::map<std::string, std::string>& query) {
  const std::int64_t revision = std::stoll(query.at("after"));
  const auto answer = m_store.watch(query.at("prefix"), revision, m_view);
  if (answer.has_value()) {
    respond(connection, *answer);
    return;
  }
  connection.watch(query.at("prefix"), revision, std::stoull(query.at("wait_ms")));
}

void PlatformServer::serve_promotion(Connection& connection, const HttpRequestText& request) {
  const auto body = nlohmann::json::parse(request.body);
  const MemberId member(body.at("id").get<std::string>());
  m_promoting[member].push_back(connection.number());
  m_promotions.promote(GroupId(body.at("service").get<std::string>()), member,
                       HostId(request.headers.at("x-lease-holder")),
                       FencingToken(std::stoull(request.headers.at("x-fencing-token"))), *this);
}

void PlatformServer::on_promotion(const GroupId& /*group*/, const MemberId& member, PromotionOutcome outcome,
                                  TimePoint /*now*/) {
  auto& waiting = m_promoting[member];
  const std::uint64_t number = waiting.front();
  waiting.pop_front();
  const auto connection = m_connections.find(number);
  if (connection != m_connections.end() && outcome != PromotionOutcome::kUnknown) {
    respond(*connection->second, {outcome == PromotionOutcome::kDone ? 200 : 409, nlohmann::json::object()}, true);
  }
}

void PlatformServer::respond(Connection& connection, const InMemoryKvStore::Answer& answer, bool may_lose) {
  if (may_lose && m_answers_to_lose > 0) {
    --m_answers_to_lose;
    connection.close();
    return;
  }
  const std::string text =
      http_response_text(answer.status, answer.body.dump(), "Store-Era: " + std::to_string(m_store.era()) + "\r\n");
  if (m_fault == PlatformFault::kSlow) {
    connection.answer_later(text, kSlowAnswerMs);
  } else {
    connection.send(text);
  }
}

}  // namespace teaselrudder::testing
