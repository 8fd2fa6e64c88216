#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/time.h"

namespace teaselrudder::testing {

/// What the stand-in of the platform's metadata store holds: items with revisions, leases and a history, as the
/// platform's protocol page says. Answers have the form of the page.
class KvContent {
 public:
  /// Changes the value that one reader sees, by key.
  using View = std::function<std::string(const std::string& key, const std::string& value)>;

  struct Answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  /// Items on one page of a listing, few so that listings have several pages.
  static constexpr std::size_t kPageItems = 4;

  /// Writes as the operator or a member does.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  /// Drops the history, so that watches from before get status 410.
  void drop_history() { m_history.clear(); }

  std::int64_t revision() const { return m_revision; }

  Answer range(const std::string& prefix, const std::string& after, const View& view) const;
  /// Returns the events after `revision`, nothing while there is none, or status 410.
  std::optional<Answer> watch(const std::string& prefix, std::int64_t revision, const View& view) const;
  Answer transact(const nlohmann::json& request);
  Answer grant(const nlohmann::json& request, TimePoint now);
  Answer keep(std::uint64_t lease, TimePoint now);
  Answer end(std::uint64_t lease);

  /// Ends the leases that are due.
  void expire(TimePoint now);

 private:
  struct Item {
    std::string value;
    std::int64_t changed = 0;
    std::int64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration time_to_live{0};
    TimePoint ends_at;
  };
  struct Event {
    std::int64_t revision = 0;
    std::string key;
    /// Nothing if the key was removed.
    std::optional<Item> item;
  };

  static nlohmann::json to_json(const std::string& key, const Item& item, const View& view);
  void write(const std::string& key, const std::string& value, std::uint64_t lease);
  void erase(const std::string& key);

  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Lease> m_leases;
  std::deque<Event> m_history;
  std::int64_t m_revision = 1;
  std::uint64_t m_last_lease = 0;
};

}  // namespace teaselrudder::testing
