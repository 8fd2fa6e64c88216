#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "review/stand_ins/net.h"

namespace teaselrudder::review {

/// Stand-in of the platform's metadata store.
class Store {
 public:
  /// Returns the value that a reader gets for a key, given the stored value.
  using View = std::function<std::string(const std::string& key, const std::string& value)>;

  /// Starts to serve on a free port, which is returned. Readers there get the values that `view` returns. While
  /// `passes` returns false, requests are neither carried out nor answered.
  std::uint16_t serve(View view, std::function<bool()> passes);

  /// Writes an item as the operator or a member does.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;

  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::int64_t revision = 0;
    bool removed = false;
    Item item;
  };
  struct Lease {
    Milliseconds time_to_live;
    Clock::time_point ends_at;
  };

  HttpResponse answer(const HttpRequest& request, const View& view);
  HttpResponse range(const HttpRequest& request, const View& view);
  HttpResponse watch(const HttpRequest& request, const View& view);
  HttpResponse transact(const HttpRequest& request);
  HttpResponse grant(const HttpRequest& request);
  HttpResponse renew(std::int64_t lease);
  HttpResponse end(std::int64_t lease);

  // The following functions need the lock.
  void write(const std::string& key, const std::string& value, std::int64_t lease);
  void erase(const std::string& key);
  void end_lease(std::int64_t lease);
  void expire_leases();
  static Json to_json(const std::string& key, const Item& item, const View& view);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_revision = 1;
  std::int64_t m_last_lease = 0;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_history;
  std::map<std::int64_t, Lease> m_leases;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
};

}  // namespace teaselrudder::review
