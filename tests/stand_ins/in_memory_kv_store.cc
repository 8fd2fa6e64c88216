#include "tests/stand_ins/in_memory_kv_store.h"

#include <algorithm>
#include <vector>

#include "drivers/store/base64.h"

namespace teaselrudder::testing {

using Json = nlohmann::json;

Json InMemoryKvStore::to_json(const std::string& key, const Item& item, const View& view) {
  return {{"key", key},
          {"value", base64_encode(view(key, item.value))},
          {"rev", item.mod_revision},
          {"created", item.create_revision},
          {"lease", item.lease}};
}

void InMemoryKvStore::put(const std::string& key, const std::string& value) {
  ++m_contents.revision;
  write(key, value, 0);
}

void InMemoryKvStore::remove(const std::string& key) {
  if (m_contents.items.contains(key)) {
    ++m_contents.revision;
    erase(key);
  }
}

void InMemoryKvStore::keep_copy(TimePoint now) {
  m_copies.push_back({m_contents, now});
  if (m_copies.size() > kMaxCopies) {
    m_copies.pop_front();
  }
}

void InMemoryKvStore::restore_copy(Duration age, TimePoint now) {
  if (m_copies.empty()) {
    return;
  }
  while (m_copies.size() > 1 && m_copies.back().kept_at > now - age) {
    m_copies.pop_back();
  }
  const Copy copy = m_copies.back();
  m_copies.clear();
  m_contents = copy.contents;
  for (auto& [number, lease] : m_contents.leases) {
    lease.expires_at += now - copy.kept_at;
  }
  ++m_era;
}

void InMemoryKvStore::write(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = m_contents.items[key];
  item.create_revision = item.create_revision == 0 ? m_contents.revision : item.create_revision;
  item.value = value;
  item.mod_revision = m_contents.revision;
  item.lease = lease;
  m_contents.history.push_back({m_contents.revision, key, item});
}

void InMemoryKvStore::erase(const std::string& key) {
  m_contents.items.erase(key);
  m_contents.history.push_back({m_contents.revision, key, std::nullopt});
}

InMemoryKvStore::Answer InMemoryKvStore::range(const std::string& prefix, const std::string& after,
                                               const View& view) const {
  Json items = Json::array();
  bool more = false;
  for (auto item = m_contents.items.upper_bound(after); item != m_contents.items.end(); ++item) {
    if (!item->first.starts_with(prefix)) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(to_json(item->first, item->second, view));
  }
  return {200, {{"items", items}, {"has_more", more}, {"as_of", m_contents.revision}}};
}

std::optional<InMemoryKvStore::Answer> InMemoryKvStore::watch(const std::string& prefix, std::int64_t revision,
                                                              const View& view) const {
  const std::int64_t first = m_contents.history.empty() ? m_contents.revision + 1 : m_contents.history.front().revision;
  if (revision + 1 < first || revision > m_contents.revision) {
    return Answer{410, Json::object()};
  }
  Json events = Json::array();
  for (const Event& event : m_contents.history) {
    if (event.revision <= revision || !event.key.starts_with(prefix)) {
      continue;
    }
    events.push_back(event.item.has_value() ? to_json(event.key, *event.item, view)
                                            : Json{{"key", event.key}, {"rev", event.revision}, {"removed", true}});
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return Answer{200, {{"events", events}, {"as_of", m_contents.revision}}};
}

InMemoryKvStore::Answer InMemoryKvStore::transact(const Json& request) {
  Json present = Json::array();
  bool matches = true;
  for (const Json& expected : request.at("expected")) {
    const std::string key = expected.at("key");
    const auto item = m_contents.items.find(key);
    const std::int64_t changed = item == m_contents.items.end() ? 0 : item->second.mod_revision;
    matches = matches && changed == expected.at("rev").get<std::int64_t>();
    if (item != m_contents.items.end()) {
      present.push_back(to_json(key, item->second, [](const auto&, const std::string& value) { return value; }));
    }
  }
  if (!matches) {
    return {412, {{"items", present}}};
  }
  for (const Json& write : request.at("writes")) {
    const auto lease = write.value("lease", std::uint64_t{0});
    if (lease != 0 && !m_contents.leases.contains(lease)) {
      return {404, Json::object()};
    }
  }
  ++m_contents.revision;
  for (const Json& entry : request.at("writes")) {
    write(entry.at("key"), base64_decode(entry.at("value").get<std::string>()).value_or(""),
          entry.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : request.at("deletes")) {
    erase(key);
  }
  return {200, {{"rev", m_contents.revision}}};
}

InMemoryKvStore::Answer InMemoryKvStore::grant_lease(const Json& request, TimePoint now) {
  const Duration time_to_live = std::chrono::milliseconds(request.at("ttl_ms").get<std::int64_t>());
  m_contents.leases[++m_contents.last_lease] = {time_to_live, now + time_to_live};
  return {200, {{"lease", m_contents.last_lease}, {"ttl_ms", to_milliseconds(time_to_live)}}};
}

InMemoryKvStore::Answer InMemoryKvStore::renew_lease(std::uint64_t lease, TimePoint now) {
  const auto found = m_contents.leases.find(lease);
  if (found == m_contents.leases.end()) {
    return {404, Json::object()};
  }
  found->second.expires_at = now + found->second.time_to_live;
  return {200, Json::object()};
}

InMemoryKvStore::Answer InMemoryKvStore::end_lease(std::uint64_t lease) {
  if (m_contents.leases.erase(lease) == 0) {
    return {404, Json::object()};
  }
  std::vector<std::string> ended;
  for (const auto& [key, item] : m_contents.items) {
    if (item.lease == lease) {
      ended.push_back(key);
    }
  }
  if (!ended.empty()) {
    ++m_contents.revision;
  }
  for (const std::string& key : ended) {
    erase(key);
  }
  return {200, Json::object()};
}

void InMemoryKvStore::expire_leases(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, lease] : m_contents.leases) {
    if (lease.expires_at <= now) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    end_lease(id);
  }
}

}  // namespace teaselrudder::testing
