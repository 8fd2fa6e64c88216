#include "tests/stand_ins/platform_server.h"

#include <sstream>
#include <utility>
#include <vector>

namespace teaselrudder::testing {

namespace {

/// Delay of an answer while the platform is slow.
constexpr std::uint64_t kSlowAnswerMs = 300;

std::string unescape(const std::string& text) {
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

std::map<std::string, std::string> query_of(const std::string& path) {
  std::map<std::string, std::string> query;
  const std::size_t mark = path.find('?');
  std::istringstream fields(mark == std::string::npos ? "" : path.substr(mark + 1));
  for (std::string field; std::getline(fields, field, '&');) {
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos) {
      query[field.substr(0, equals)] = unescape(field.substr(equals + 1));
    }
  }
  return query;
}

std::uint64_t last_number(const std::string& path) { return std::stoull(path.substr(path.rfind('/') + 1)); }

}  // namespace

/// One connection; requests come one after another.
class PlatformServer::Exchange final : public TcpStream {
 public:
  Exchange(uv_loop_t* loop, PlatformServer& owner, std::uint64_t number)
      : TcpStream(loop), m_owner(&owner), m_number(number) {}

  std::uint64_t number() const { return m_number; }
  void disown() { m_owner = nullptr; }

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
    const auto answer = m_owner->m_content.watch(m_watch->first, m_watch->second, m_owner->m_view);
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
      m_owner->respond(*this, {200, {{"events", nlohmann::json::array()}, {"as_of", m_owner->m_content.revision()}}});
    }
  }
  void on_close() override {
    if (m_owner != nullptr) {
      m_owner->m_exchanges.erase(m_number);
    }
  }

 private:
  PlatformServer* m_owner;
  std::uint64_t m_number;
  std::string m_input;
  std::string m_delayed;
  std::optional<std::pair<std::string, std::int64_t>> m_watch;
};

PlatformServer::PlatformServer(uv_loop_t* loop, KvContent& content, KvContent::View view, PromotionPort& promotions,
                               Clock clock)
    : m_content(content), m_view(std::move(view)), m_promotions(promotions), m_clock(std::move(clock)) {
  m_listener = new TcpListener(loop, 0, [this, loop](uv_stream_t* listener) {
    auto* const exchange = new Exchange(loop, *this, ++m_last_exchange);
    m_exchanges[exchange->number()] = exchange;
    exchange->accept_from(listener);
  });
}

PlatformServer::~PlatformServer() {
  m_listener->close();
  const auto exchanges = std::exchange(m_exchanges, {});
  for (const auto& [number, exchange] : exchanges) {
    exchange->disown();
    exchange->close();
  }
}

void PlatformServer::reset_connections() {
  const auto exchanges = m_exchanges;
  for (const auto& [number, exchange] : exchanges) {
    exchange->close();
  }
}

void PlatformServer::on_content_changed() {
  const auto exchanges = m_exchanges;
  for (const auto& [number, exchange] : exchanges) {
    if (m_exchanges.contains(number)) {
      exchange->report_changes();
    }
  }
}

void PlatformServer::serve(Exchange& exchange, const HttpRequestText& request) {
  if (m_fault == PlatformFault::kSilent) {
    return;
  }
  if (m_fault == PlatformFault::kReset) {
    exchange.close();
    return;
  }
  if (m_fault == PlatformFault::kBusy) {
    respond(exchange, {503, nlohmann::json::object()});
    return;
  }
  const std::string path = request.path.substr(0, request.path.find('?'));
  const auto query = query_of(request.path);
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const auto field = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  if (path == "/kv-range") {
    respond(exchange, m_content.range(field("prefix"), field("after"), m_view));
  } else if (path == "/kv-watch") {
    start_watch(exchange, query);
  } else if (path == "/kv-txn") {
    respond(exchange, m_content.transact(body), true);
  } else if (path == "/kv-lease") {
    respond(exchange, m_content.grant(body, m_clock()), true);
  } else if (path.starts_with("/kv-keep/")) {
    respond(exchange, m_content.keep(last_number(path), m_clock()));
  } else if (path.starts_with("/kv-lease-end/")) {
    respond(exchange, m_content.end(last_number(path)));
  } else if (path == "/promote") {
    serve_promotion(exchange, request);
  } else {
    respond(exchange, {404, nlohmann::json::object()});
  }
}

void PlatformServer::start_watch(Exchange& exchange, const std::map<std::string, std::string>& query) {
  const std::int64_t revision = std::stoll(query.at("after"));
  const auto answer = m_content.watch(query.at("prefix"), revision, m_view);
  if (answer.has_value()) {
    respond(exchange, *answer);
    return;
  }
  exchange.watch(query.at("prefix"), revision, std::stoull(query.at("wait_ms")));
}

void PlatformServer::serve_promotion(Exchange& exchange, const HttpRequestText& request) {
  const auto body = nlohmann::json::parse(request.body);
  const MemberId member(body.at("id").get<std::string>());
  m_promoting[member].push_back(exchange.number());
  m_promotions.promote(GroupId(body.at("service").get<std::string>()), member,
                       HostId(request.headers.at("x-lease-holder")),
                       FencingToken(std::stoull(request.headers.at("x-fencing-token"))), *this);
}

void PlatformServer::on_promotion(const GroupId& /*group*/, const MemberId& member, PromotionOutcome outcome,
                                  TimePoint /*now*/) {
  auto& waiting = m_promoting[member];
  const std::uint64_t number = waiting.front();
  waiting.pop_front();
  const auto exchange = m_exchanges.find(number);
  if (exchange != m_exchanges.end() && outcome != PromotionOutcome::kUnknown) {
    respond(*exchange->second, {outcome == PromotionOutcome::kDone ? 200 : 409, nlohmann::json::object()}, true);
  }
}

void PlatformServer::respond(Exchange& exchange, const KvContent::Answer& answer, bool may_lose) {
  if (may_lose && m_lost_answers > 0) {
    --m_lost_answers;
    exchange.close();
    return;
  }
  const std::string text = http_response_text(answer.status, answer.body.dump());
  if (m_fault == PlatformFault::kSlow) {
    exchange.answer_later(text, kSlowAnswerMs);
  } else {
    exchange.send(text);
  }
}

}  // namespace teaselrudder::testing
