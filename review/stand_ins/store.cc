#include "review/stand_ins/store.h"

#include <array>
#include <cstdlib>
#include <utility>

namespace teaselrudder::review {

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kPageItems = 500;
/// Interval at which a waiting watch looks for expired leases.
constexpr Milliseconds kLeaseCheck(20);
/// Interval at which a request on an interrupted path looks whether the path works again.
constexpr Milliseconds kPathCheck(5);

std::string encode_base64(const std::string& bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = (group << 8U) | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text.push_back(index <= count ? kDigits[(group >> (18 - 6 * index)) & 63U] : '=');
    }
  }
  return text;
}

std::string decode_base64(const std::string& text) {
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char character : text) {
    const std::size_t digit = kDigits.find(character);
    if (digit == std::string_view::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes.push_back(static_cast<char>((bits >> count) & 255U));
    }
  }
  return bytes;
}

std::string field(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

}  // namespace

std::uint16_t Store::serve(View view, std::function<bool()> passes) {
  m_servers.push_back(std::make_unique<HttpServer>(
      [this, view = std::move(view), passes = std::move(passes)](const HttpRequest& request) {
        while (!passes()) {
          sleep_for(kPathCheck);
        }
        HttpResponse response = answer(request, view);
        while (!passes()) {
          sleep_for(kPathCheck);
        }
        return response;
      }));
  return m_servers.back()->port();
}

void Store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  write(key, value, 0);
}

void Store::remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  erase(key);
}

HttpResponse Store::answer(const HttpRequest& request, const View& view) {
  constexpr std::string_view kKeep = "/kv-keep/";
  constexpr std::string_view kEnd = "/kv-lease-end/";
  if (request.path == "/kv-range") {
    return range(request, view);
  }
  if (request.path == "/kv-watch") {
    return watch(request, view);
  }
  if (request.path == "/kv-txn") {
    return transact(request);
  }
  if (request.path == "/kv-lease") {
    return grant(request);
  }
  if (request.path.starts_with(kKeep)) {
    return renew(std::atoll(request.path.c_str() + kKeep.size()));
  }
  if (request.path.starts_with(kEnd)) {
    return end(std::atoll(request.path.c_str() + kEnd.size()));
  }
  return {404, "{}"};
}

Store::Json Store::to_json(const std::string& key, const Item& item, const View& view) {
  return {{"key", key},
          {"value", encode_base64(view(key, item.value))},
          {"rev", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

HttpResponse Store::range(const HttpRequest& request, const View& view) {
  const std::string prefix = field(request, "prefix");
  const std::string after = field(request, "after");
  const std::lock_guard lock(m_mutex);
  expire_leases();
  Json items = Json::array();
  bool has_more = false;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == kPageItems) {
      has_more = true;
      break;
    }
    items.push_back(to_json(key, item, view));
  }
  return {200, Json{{"items", items}, {"has_more", has_more}, {"as_of", m_revision}}.dump()};
}

HttpResponse Store::watch(const HttpRequest& request, const View& view) {
  const std::string prefix = field(request, "prefix");
  const std::int64_t after = std::atoll(field(request, "after").c_str());
  const auto until = Clock::now() + Milliseconds(std::atoll(field(request, "wait_ms").c_str()));
  std::unique_lock lock(m_mutex);
  while (true) {
    expire_leases();
    Json events = Json::array();
    for (const Change& change : m_history) {
      if (change.revision <= after || !change.key.starts_with(prefix)) {
        continue;
      }
      events.push_back(change.removed ? Json{{"key", change.key}, {"rev", change.revision}, {"removed", true}}
                                      : to_json(change.key, change.item, view));
    }
    if (!events.empty() || Clock::now() >= until) {
      return {200, Json{{"events", events}, {"as_of", m_revision}}.dump()};
    }
    m_changed.wait_for(lock, kLeaseCheck);
  }
}

HttpResponse Store::transact(const HttpRequest& request) {
  const Json body = Json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  expire_leases();
  Json items = Json::array();
  bool matches = true;
  for (const Json& expected : body.value("expected", Json::array())) {
    const auto found = m_items.find(expected["key"].get<std::string>());
    const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
    matches = matches && revision == expected["rev"].get<std::int64_t>();
    if (found != m_items.end()) {
      items.push_back({{"key", found->first}, {"rev", found->second.revision}});
    }
  }
  if (!matches) {
    return {412, Json{{"items", items}}.dump()};
  }
  for (const Json& write_row : body.value("writes", Json::array())) {
    const std::int64_t lease = write_row.value("lease", std::int64_t{0});
    if (lease != 0 && !m_leases.contains(lease)) {
      return {404, "{}"};
    }
  }
  for (const Json& write_row : body.value("writes", Json::array())) {
    write(write_row["key"].get<std::string>(), decode_base64(write_row["value"].get<std::string>()),
          write_row.value("lease", std::int64_t{0}));
  }
  for (const Json& key : body.value("deletes", Json::array())) {
    erase(key.get<std::string>());
  }
  return {200, Json{{"rev", m_revision}}.dump()};
}

HttpResponse Store::grant(const HttpRequest& request) {
  const Milliseconds time_to_live(Json::parse(request.body)["ttl_ms"].get<std::int64_t>());
  const std::lock_guard lock(m_mutex);
  m_leases[++m_last_lease] = {time_to_live, Clock::now() + time_to_live};
  return {200, Json{{"lease", m_last_lease}, {"ttl_ms", time_to_live.count()}}.dump()};
}

HttpResponse Store::renew(std::int64_t lease) {
  const std::lock_guard lock(m_mutex);
  expire_leases();
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return {404, "{}"};
  }
  found->second.ends_at = Clock::now() + found->second.time_to_live;
  return {200, Json{{"ttl_ms", found->second.time_to_live.count()}}.dump()};
}

HttpResponse Store::end(std::int64_t lease) {
  const std::lock_guard lock(m_mutex);
  if (!m_leases.contains(lease)) {
    return {404, "{}"};
  }
  end_lease(lease);
  return {200, "{}"};
}

void Store::write(const std::string& key, const std::string& value, std::int64_t lease) {
  ++m_revision;
  Item& item = m_items[key];
  item.created = item.created == 0 ? m_revision : item.created;
  item.value = value;
  item.revision = m_revision;
  item.lease = lease;
  m_history.push_back({key, m_revision, false, item});
  m_changed.notify_all();
}

void Store::erase(const std::string& key) {
  if (m_items.erase(key) != 0) {
    m_history.push_back({key, ++m_revision, true, {}});
    m_changed.notify_all();
  }
}

void Store::end_lease(std::int64_t lease) {
  m_leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    erase(key);
  }
}

void Store::expire_leases() {
  std::vector<std::int64_t> ended;
  for (const auto& [lease, state] : m_leases) {
    if (state.ends_at <= Clock::now()) {
      ended.push_back(lease);
    }
  }
  for (const std::int64_t lease : ended) {
    end_lease(lease);
  }
}

}  // namespace teaselrudder::review
