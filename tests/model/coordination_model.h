#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/ports/coordination_port.h"
#include "misc/measure/event_queue.h"

// Header-only in-memory store for the tests of session hosts.
namespace teaselrudder::model {

/// Model of the platform's store, with revisions, leases, a change history and injected faults.
class CoordinationModel {
 public:
  explicit CoordinationModel(EventQueue& events) : m_events(events) {}

  /// The store answers no host.
  bool down = false;
  /// Numbers of the hosts that get no answer.
  std::vector<std::size_t> unreachable_hosts;
  /// Number of the next writes that take effect but get no answer.
  int lost_writes = 0;
  std::uint64_t calls = 0;

  /// Publishes a change made by the operator or a member.
  void publish(StoreChange change) { record_change(std::move(change)); }

  /// Compacts the history, so that hosts which watch from an earlier revision have to list again.
  void drop_history() { m_contents.first_kept_revision = m_contents.revision + 1; }

  /// Keeps a copy of the present content, from which restore_copy() restores the store.
  void keep_copy() { m_copy = {m_contents, m_events.now()}; }
  bool has_copy() const { return m_copy.has_value(); }

  /// Replaces the content by the copy, as if the store had failed and come back. Whatever was written since the copy is
  /// gone, and its revisions and lease numbers are given out again. Leases of the copy have as much time left as then.
  void restore_copy() {
    m_contents = m_copy->contents;
    const Duration age = m_events.now() - m_copy->kept_at;
    for (auto& [lease, times] : m_contents.leases) {
      times.second += age;
    }
    ++m_era;
  }

  /// Grants a lease to another user of the store.
  LeaseId grant_foreign_lease(Duration time_to_live) { return create_lease(time_to_live); }

  /// Removes a key, as an expired lease does.
  void remove(const std::string& key) {
    if (m_contents.records.erase(key) > 0) {
      ++m_contents.revision;
      m_contents.history.emplace_back(m_contents.revision,
                                      RecordChanged{key, std::nullopt, StoreRevision(m_contents.revision)});
    }
  }

  bool has(const std::string& key) const { return m_contents.records.contains(key); }
  std::string value(const std::string& key) const { return m_contents.records.at(key).value; }

  /// Port of one host to the store.
  class Port final : public CoordinationPort {
   public:
    Port(CoordinationModel& store, std::size_t host) : m_store(store), m_host(host) {}

    void set_era_listener(StoreEraListener& listener) override { m_era_listener = &listener; }
    void list(StoreCallId call, const std::string& /*after*/, CoordinationEvents& receiver) override {
      reply(call, receiver, [this]() -> Result { return CoordinationResult(m_store.list_all()); });
    }
    void watch(StoreCallId call, StoreRevision revision, Duration wait, CoordinationEvents& receiver) override {
      poll(call, revision, m_store.m_events.now() + wait, receiver);
    }
    void grant_lease(StoreCallId call, Duration time_to_live, CoordinationEvents& receiver) override {
      reply(call, receiver,
            [this, time_to_live]() -> Result { return CoordinationResult(m_store.create_lease(time_to_live)); });
    }
    void renew_lease(StoreCallId call, LeaseId lease, CoordinationEvents& receiver) override {
      reply(call, receiver, [this, lease] { return m_store.renew(lease); });
    }
    void end_lease(StoreCallId call, LeaseId lease, CoordinationEvents& receiver) override {
      reply(call, receiver, [this, lease]() -> Result {
        m_store.expire_lease(lease.value());
        return CoordinationResult(std::monostate());
      });
    }
    void write(StoreCallId call, const std::string& key, StoreRevision expected, const std::string& value,
               LeaseId lease, CoordinationEvents& receiver) override {
      reply(
          call, receiver,
          [this, key, expected, value, lease] { return m_store.write_record(key, expected, value, lease); }, true);
    }

   private:
    using Result = tl::expected<CoordinationResult, CoordinationError>;

    bool is_blocked() const {
      for (const std::size_t host : m_store.unreachable_hosts) {
        if (host == m_host) {
          return true;
        }
      }
      return m_store.down;
    }

    template <typename Operation>
    void reply(StoreCallId call, CoordinationEvents& receiver, Operation operation, bool writes = false) {
      ++m_store.calls;
      const TimePoint now = m_store.m_events.now();
      if (is_blocked()) {
        time_out(call, receiver, now + std::chrono::milliseconds(1200));
        return;
      }
      m_store.m_events.at(now + std::chrono::milliseconds(4), [this, call, &receiver, operation, writes] {
        Result result = operation();
        const bool lost = writes && m_store.lost_writes > 0;
        m_store.lost_writes -= lost ? 1 : 0;
        if (lost) {
          time_out(call, receiver, m_store.m_events.now() + std::chrono::milliseconds(1200));
          return;
        }
        answer(call, receiver, std::move(result));
      });
    }

    /// Delivers an answer of the store with its present era.
    void answer(StoreCallId call, CoordinationEvents& receiver, Result result) {
      const TimePoint now = m_store.m_events.now();
      if (m_era_listener != nullptr) {
        m_era_listener->on_store_era(StoreEra(m_store.m_era), now);
      }
      receiver.on_coordination_result(call, std::move(result), now);
    }

    void time_out(StoreCallId call, CoordinationEvents& receiver, TimePoint at) {
      m_store.m_events.at(at, [this, call, &receiver] {
        receiver.on_coordination_result(
            call, tl::unexpected(CoordinationError{CoordinationErrorKind::kTimeout, "store did not answer"}),
            m_store.m_events.now());
      });
    }

    void poll(StoreCallId call, StoreRevision revision, TimePoint until, CoordinationEvents& receiver) {
      const TimePoint now = m_store.m_events.now();
      m_store.m_events.at(now + std::chrono::milliseconds(4), [this, call, revision, until, &receiver] {
        if (is_blocked()) {
          time_out(call, receiver, until);
          return;
        }
        const Contents& contents = m_store.m_contents;
        if (revision.value() + 1 < contents.first_kept_revision || revision.value() > contents.revision) {
          answer(call, receiver,
                 tl::unexpected(CoordinationError{CoordinationErrorKind::kHistoryCompacted, "history was compacted"}));
          return;
        }
        StoreChanges changes = m_store.changes_since(revision);
        if (changes.changes.empty() && m_store.m_events.now() < until) {
          poll(call, revision, until, receiver);
          return;
        }
        answer(call, receiver, CoordinationResult(std::move(changes)));
      });
    }

    CoordinationModel& m_store;
    std::size_t m_host;
    StoreEraListener* m_era_listener = nullptr;
  };

 private:
  friend class Port;

  struct Record {
    std::string value;
    std::int64_t revision = 0;
    std::uint64_t lease = 0;
  };

  void record_change(StoreChange change) {
    ++m_contents.revision;
    if (const auto* routing = std::get_if<RoutingChanged>(&change)) {
      m_contents.routing = *routing;
    } else if (const auto* updated = std::get_if<MemberUpdated>(&change)) {
      m_contents.members[updated->entry.member] = updated->entry;
    } else if (const auto* removed = std::get_if<MemberRemoved>(&change)) {
      m_contents.members.erase(removed->member);
    }
    m_contents.history.emplace_back(m_contents.revision, std::move(change));
  }

  StorePage list_all() {
    expire_due_leases();
    StorePage page;
    page.as_of = StoreRevision(m_contents.revision);
    if (m_contents.routing.has_value()) {
      page.items.emplace_back(*m_contents.routing);
    }
    for (const auto& [id, entry] : m_contents.members) {
      page.items.emplace_back(MemberUpdated{entry});
    }
    for (const auto& [key, record] : m_contents.records) {
      page.items.emplace_back(RecordChanged{key, record.value, StoreRevision(record.revision), LeaseId(record.lease)});
    }
    return page;
  }

  StoreChanges changes_since(StoreRevision revision) {
    expire_due_leases();
    StoreChanges changes;
    changes.as_of = StoreRevision(m_contents.revision);
    for (const auto& [change_revision, change] : m_contents.history) {
      if (change_revision > revision.value()) {
        changes.changes.push_back(change);
      }
    }
    return changes;
  }

  LeaseId create_lease(Duration time_to_live) {
    const std::uint64_t lease = ++m_contents.last_lease;
    m_contents.leases[lease] = {time_to_live, m_events.now() + time_to_live};
    return LeaseId(lease);
  }

  tl::expected<CoordinationResult, CoordinationError> renew(LeaseId lease) {
    expire_due_leases();
    const auto found = m_contents.leases.find(lease.value());
    if (found == m_contents.leases.end()) {
      return tl::unexpected(CoordinationError{CoordinationErrorKind::kLeaseNotFound, "lease not found"});
    }
    found->second.second = m_events.now() + found->second.first;
    return CoordinationResult(std::monostate());
  }

  tl::expected<CoordinationResult, CoordinationError> write_record(const std::string& key, StoreRevision expected,
                                                                   const std::string& value, LeaseId lease) {
    expire_due_leases();
    if (lease != LeaseId(0) && !m_contents.leases.contains(lease.value())) {
      return tl::unexpected(CoordinationError{CoordinationErrorKind::kLeaseNotFound, "lease not found"});
    }
    const auto found = m_contents.records.find(key);
    if ((found == m_contents.records.end() ? 0 : found->second.revision) != expected.value()) {
      return tl::unexpected(CoordinationError{CoordinationErrorKind::kConflict, "record has another revision"});
    }
    ++m_contents.revision;
    m_contents.records[key] = {value, m_contents.revision, lease.value()};
    m_contents.history.emplace_back(m_contents.revision,
                                    RecordChanged{key, value, StoreRevision(m_contents.revision), lease});
    return CoordinationResult(StoreRevision(m_contents.revision));
  }

  void expire_lease(std::uint64_t lease) {
    m_contents.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, record] : m_contents.records) {
      if (record.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      remove(key);
    }
  }

  void expire_due_leases() {
    std::vector<std::uint64_t> due;
    for (const auto& [lease, times] : m_contents.leases) {
      if (times.second <= m_events.now()) {
        due.push_back(lease);
      }
    }
    for (const std::uint64_t lease : due) {
      expire_lease(lease);
    }
  }

  /// What the store holds; a copy of it can be restored.
  struct Contents {
    std::int64_t revision = 1;
    /// Oldest revision whose change hosts can still watch.
    std::int64_t first_kept_revision = 0;
    std::vector<std::pair<std::int64_t, StoreChange>> history;
    std::optional<RoutingChanged> routing;
    std::map<MemberId, MemberEntry> members;
    std::map<std::string, Record> records;
    /// Time to live and expiry of each lease.
    std::map<std::uint64_t, std::pair<Duration, TimePoint>> leases;
    std::uint64_t last_lease = 0;
  };
  struct Copy {
    Contents contents;
    TimePoint kept_at;
  };

  EventQueue& m_events;
  std::uint64_t m_era = 1;
  Contents m_contents;
  std::optional<Copy> m_copy;
};

}  // namespace teaselrudder::model
