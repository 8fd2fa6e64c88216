#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "review/stand_ins/net.h"
#include "review/stand_ins/network.h"
#include "review/stand_ins/store.h"

namespace teaselrudder::review {

/// Position in a member's log: term and number.
using Position = std::pair<std::uint64_t, std::uint64_t>;

/// Returns `position` as TERM.NUMBER.
std::string to_text(const Position& position);

/// One commit in a member's log.
struct Commit {
  Position position;
  /// Id of the client's request.
  std::string request;
  std::vector<std::pair<std::string, std::string>> writes;
};

struct MemberSettings {
  std::string id;
  std::string zone = "zone-a";
};

struct GroupSettings {
  std::string service;
  std::vector<MemberSettings> members = {{"i-0"}, {"i-1"}, {"i-2"}};
  std::size_t slots = 3;
  std::size_t max_connections = 22;
  Milliseconds connect_time{12};
  Milliseconds work_time{5};
  Milliseconds promote_time{600};
};

/// Stand-in of a replicated database group that speaks the platform's line protocol. The first member is the primary
/// at the start. Replicas that the network connects with the primary receive each commit at once.
class Group {
 public:
  Group(GroupSettings settings, Store& store, Network& network, Record& record);

  const std::string& service() const { return m_settings.service; }
  const std::string& member_id(std::size_t member) const { return m_members.at(member)->id; }
  /// Opens ports of all members for a host in `zone`.
  void add_host(const std::string& host, const std::string& zone);
  /// Returns the port of `member` for `host`.
  std::uint16_t port_for(const std::string& host, std::size_t member) const;
  /// Returns the member's entry in the store with its address as `host` reaches it.
  std::string view_of(const std::string& host, const std::string& entry) const;

  /// Starts to write the members' entries to the store at the heartbeat's interval.
  void start_heartbeats();

  /// The member reports that it is draining.
  void drain(std::size_t member);

  /// Handles POST /promote.
  HttpResponse promote(const HttpRequest& request);

  /// The member neither reads nor answers until it is thawed, and its replication stands still.
  void set_frozen(std::size_t member, bool frozen);
  /// Closes the member's connections. It refuses new ones until it is restarted with its log.
  void crash(std::size_t member);
  void restart(std::size_t member);

  /// Blocks until the member has been told to pause, or until `timeout`.
  bool wait_until_paused(std::size_t member, Milliseconds timeout);
  /// Returns the index of the member that leads the newest term.
  std::size_t leader();
  /// Returns true if the log of `member` contains a commit of `request`.
  bool holds(std::size_t member, const std::string& request);
  /// Returns the value of `item` at `member`, or an empty text.
  std::string value_of(std::size_t member, const std::string& item);
  /// Returns true if a read, write or commit with this id has reached a member.
  bool has_reached(const std::string& request);
  /// Returns the end of the log on which a read ran, and the member, or nothing.
  std::optional<std::pair<Position, std::string>> read_position(const std::string& request);
  /// Returns the position of the commit of `request`, if a member has made one.
  std::optional<Position> commit_position(const std::string& request);
  /// Returns the shape of the prepared statement that was run for the request, or an empty text.
  std::string shape_run_for(const std::string& request);

 private:
  struct Member {
    std::string id;
    std::string zone;
    std::size_t index = 0;
    bool leaving = false;
    bool is_primary = false;
    std::uint64_t term = 1;
    std::uint64_t paused_below = 0;
    bool up = true;
    bool frozen = false;
    /// Number of heartbeats that have not reached the store since the last one that did.
    int missed_heartbeats = 0;
    std::vector<Commit> log;
    std::size_t busy = 0;
    std::set<Connection*> connections;
    /// By host.
    std::map<std::string, std::unique_ptr<Listener>> listeners;
  };
  /// State of one session at a member.
  struct Session {
    Member* member = nullptr;
    std::map<std::string, std::string> values;
    /// Access and shape by name.
    std::map<std::string, std::pair<std::string, std::string>> prepared;
    bool in_transaction = false;
    bool failed = false;
    bool read_only = false;
    std::uint64_t began_in_term = 0;
    std::vector<std::pair<std::string, std::string>> writes;
  };
  /// Answer to one query, without the final READY line.
  struct Answer {
    std::string text;
    bool is_error = false;
  };

  void serve(Member& member, const std::string& zone, Connection& connection);
  /// Blocks while the member stands still or the network does not connect it with `zone`.
  void wait_for_path(const Member& member, const std::string& zone, std::unique_lock<std::mutex>& lock);
  Answer run(Session& session, const std::string& id, std::string_view text);
  Answer run_internal(Session& session, std::string_view verb, std::string_view rest);
  Answer run_read(Session& session, const std::string& id, const std::string& item);
  Answer run_write(Session& session, const std::string& id, const std::string& item, const std::string& data);
  Answer run_commit(Session& session, const std::string& id);
  Answer run_execute(Session& session, const std::string& id, std::string_view rest);
  Answer begin(Session& session, std::string_view rest);
  Answer status(const Member& member);
  /// Occupies a slot for the work time. Returns false if none is free.
  bool work(Member& member);
  /// Appends a commit and waits until a replica has received it. Returns false if the member lost the lead first.
  bool commit(Member& member, Commit commit);
  /// Gives each replica that receives what the primary of the newest term holds. Needs the lock.
  void replicate();
  void finish_promotion(std::size_t index);
  void write_entry(const Member& member);

  static Position end_of(const Member& member);
  static std::string value_in(const Member& member, const std::string& item);
  Answer error(Session& session, const std::string& code, const Member& member) const;
  static Answer done(const std::string& signature, const std::string& row = {});

  GroupSettings m_settings;
  Store& m_store;
  Network& m_network;
  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::unique_ptr<Member>> m_members;
  std::set<std::string> m_reached;
  std::map<std::string, std::pair<Position, std::string>> m_reads;
  std::map<std::string, Position> m_commits;
  /// Shapes of the prepared statements that were run, by request.
  std::map<std::string, std::string> m_shapes;
  std::uint64_t m_highest_token = 0;
  std::uint64_t m_sequence = 0;
};

}  // namespace teaselrudder::review
