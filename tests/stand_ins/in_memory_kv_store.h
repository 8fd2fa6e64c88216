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

/// In-memory content of the test double of the platform's metadata store: items with revisions, leases and a history of
/// changes. Answers have the HTTP status and the JSON body of the platform's protocol.
class InMemoryKvStore {
 public:
  /// Returns the value that a reader gets for a key, given the stored value.
  using View = std::function<std::string(const std::string& key, const std::string& value)>;

  struct Answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  static constexpr std::size_t kMaxCopies = 32;
  /// Maximum number of items on a page of a listing; small, so that listings have several pages.
  static constexpr std::size_t kPageItems = 4;

  /// Writes an item without a lease, as the operator or a member does.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  /// Discards the history of changes, so that watches from an earlier revision get status 410.
  void drop_history() { m_contents.history.clear(); }

  std::int64_t revision() const { return m_contents.revision; }
  /// Number of the history that the store serves; rises with each restoration.
  std::uint64_t era() const { return m_era; }

  /// Keeps a copy of the present content. Only the newest kMaxCopies copies are kept.
  void keep_copy(TimePoint now);
  /// Replaces the content by the newest copy that is at least `age` old, or the oldest one, as if the store had failed
  /// and come back. Whatever was written since is gone, and its revisions and lease numbers are given out again. Leases
  /// of the copy have as much time left as then. Does nothing if there is no copy.
  void restore_copy(Duration age, TimePoint now);

  /// Returns a page of the items that start with `prefix` and come after the key `after`.
  Answer range(const std::string& prefix, const std::string& after, const View& view) const;
  /// Returns the changes after `revision`, or status 410 if the history does not reach back that far. Returns nothing
  /// if there are no changes yet.
  std::optional<Answer> watch(const std::string& prefix, std::int64_t revision, const View& view) const;
  /// Applies the writes and deletes of a request if all expected revisions match; otherwise returns status 412. Status
  /// 404 means that a lease of a write does not exist.
  Answer transact(const nlohmann::json& request);
  /// Creates a lease.
  Answer grant_lease(const nlohmann::json& request, TimePoint now);
  /// Renews a lease; status 404 if it does not exist.
  Answer renew_lease(std::uint64_t lease, TimePoint now);
  /// Ends a lease and removes its items; status 404 if it does not exist.
  Answer end_lease(std::uint64_t lease);

  /// Ends the leases that have expired.
  void expire_leases(TimePoint now);

 private:
  struct Item {
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t create_revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration time_to_live{0};
    TimePoint expires_at;
  };
  struct Event {
    std::int64_t revision = 0;
    std::string key;
    /// Empty if the key was removed.
    std::optional<Item> item;
  };

  static nlohmann::json to_json(const std::string& key, const Item& item, const View& view);
  void write(const std::string& key, const std::string& value, std::uint64_t lease);
  void erase(const std::string& key);

  /// What the store holds; a copy of it can be restored.
  struct Contents {
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::deque<Event> history;
    std::int64_t revision = 1;
    std::uint64_t last_lease = 0;
  };
  struct Copy {
    Contents contents;
    TimePoint kept_at;
  };

  Contents m_contents;
  std::uint64_t m_era = 1;
  /// Oldest first.
  std::deque<Copy> m_copies;
};

}  // namespace teaselrudder::testing
