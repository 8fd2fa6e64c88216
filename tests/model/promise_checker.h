#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/routing_table.h"
#include "core/session_protocol.h"
#include "tests/model/replicated_members.h"

namespace teaselrudder::model {

/// Judges what callers were promised from what callers and members saw: each session is compared with a connection of
/// its own to the primary. Shares nothing with the product's decisions.
class PromiseChecker {
 public:
  /// A session as its caller knows it.
  struct Session {
    ReadFreshness freshness = ReadFreshness::kPrimary;
    TransactionState state = TransactionState::kIdle;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> shapes;
    TimePoint began;
    /// Writes of the open transaction.
    std::vector<std::string> writes;
    LogPoint own_commit{Term(0), LogPosition(0)};
  };

  /// `members` outlives the checker. `max_staleness` bounds the age of reads that may be old.
  PromiseChecker(const ReplicatedMembers& members, Duration max_staleness)
      : m_members(members), m_max_staleness(max_staleness) {}

  /// Adds a session and returns its number.
  std::size_t add_session(ReadFreshness freshness);
  const Session& session(std::size_t number) const { return m_sessions.at(number); }

  /// The session's caller sends a statement.
  void on_sent(std::size_t session, const SessionStatement& statement, TimePoint now);
  /// The caller gets the answer to the statement.
  void on_reply(std::size_t session, const SessionStatement& statement, const StatementReply& reply);
  /// A member runs the statement with this id.
  void on_run(const RequestId& id, const StatementRun& run);
  /// Notes a broken promise that was found elsewhere.
  void add(std::string line) { m_broken.push_back(std::move(line)); }

  /// Returns lines about broken promises, empty if there is none.
  std::vector<std::string> broken() const;

 private:
  struct SentStatement {
    SessionStatement statement;
    std::map<std::string, std::string> values;
    std::string shape;
    bool in_transaction = false;
    TimePoint since;
    LogPoint own_commit;
    /// Session and time of the transaction's begin.
    std::pair<std::size_t, TimePoint> transaction;
    ReadFreshness freshness = ReadFreshness::kPrimary;
  };

  static bool writes(const SessionStatement& statement);
  void on_success(Session& session, const SessionStatement& statement, const StatementReply& reply);
  void check_place(const SentStatement& sent, const StatementRun& run);
  void check_age(const SentStatement& sent, const StatementRun& run);

  const ReplicatedMembers& m_members;
  Duration m_max_staleness;
  std::vector<Session> m_sessions;
  std::map<std::string, SentStatement> m_sent;
  std::map<std::pair<std::size_t, TimePoint>, std::pair<std::string, std::uint64_t>> m_transaction_places;
  std::set<std::string> m_refused_writes;
  std::set<std::string> m_acknowledged_writes;
  std::vector<std::string> m_broken;
};

}  // namespace teaselrudder::model
