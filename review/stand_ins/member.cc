#include "review/stand_ins/member.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace teaselrudder::review {

namespace {

constexpr Milliseconds kHeartbeat(1200);
/// Number of missed heartbeats after which a member's entry is removed.
constexpr int kMaxMissedHeartbeats = 3;
/// Interval at which a blocked session looks whether it can go on.
constexpr Milliseconds kPathCheck(5);

std::string_view take_word(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view word = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  return word;
}

Position parse_position(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) {
    return {};
  }
  return {std::strtoull(std::string(text.substr(0, dot)).c_str(), nullptr, 10),
          std::strtoull(std::string(text.substr(dot + 1)).c_str(), nullptr, 10)};
}

}  // namespace

std::string to_text(const Position& position) {
  return std::to_string(position.first) + "." + std::to_string(position.second);
}

Group::Group(GroupSettings settings, Store& store, Network& network, Record& record)
    : m_settings(std::move(settings)), m_store(store), m_network(network), m_record(record) {
  for (const MemberSettings& from : m_settings.members) {
    auto member = std::make_unique<Member>();
    member->index = m_members.size();
    member->id = from.id;
    member->zone = from.zone;
    member->is_primary = m_members.empty();
    m_members.push_back(std::move(member));
  }
}

void Group::add_host(const std::string& host, const std::string& zone) {
  for (const auto& member : m_members) {
    member->listeners[host] = std::make_unique<Listener>(
        [this, &served = *member, zone](Connection& connection) { serve(served, zone, connection); });
  }
}

std::uint16_t Group::port_for(const std::string& host, std::size_t member) const {
  return m_members.at(member)->listeners.at(host)->port();
}

std::string Group::view_of(const std::string& host, const std::string& entry) const {
  nlohmann::json fields = nlohmann::json::parse(entry);
  const std::size_t member = fields["addr"].get<std::size_t>();
  fields["addr"] = "127.0.0.1:" + std::to_string(port_for(host, member));
  return fields.dump();
}

void Group::drain(std::size_t member) {
  const std::lock_guard lock(m_mutex);
  m_members.at(member)->leaving = true;
  m_record.line("member " + m_members.at(member)->id + " reports that it is draining");
  write_entry(*m_members.at(member));
}

void Group::start_heartbeats() {
  std::thread([this] {
    while (true) {
      {
        const std::lock_guard lock(m_mutex);
        ++m_sequence;
        for (const auto& member : m_members) {
          if (member->up && !member->frozen && m_network.connects(member->zone, kPlatformZone)) {
            member->missed_heartbeats = 0;
            write_entry(*member);
          } else if (++member->missed_heartbeats == kMaxMissedHeartbeats) {
            m_store.remove("servers/" + member->id);
          }
        }
      }
      sleep_for(kHeartbeat);
    }
  }).detach();
}

void Group::write_entry(const Member& member) {
  const nlohmann::json entry = {{"service", m_settings.service}, {"addr", member.index},
                                {"zone", member.zone},           {"version", "v1"},
                                {"slots", m_settings.slots},     {"state", member.leaving ? "draining" : "ready"},
                                {"warmup_left_ms", 0},           {"db_role", member.is_primary ? "primary" : "replica"},
                                {"born", 1764900000000},         {"seq", m_sequence}};
  m_store.put("servers/" + member.id, entry.dump());
}

Position Group::end_of(const Member& member) {
  return member.log.empty() ? Position(member.term, 0) : member.log.back().position;
}

std::string Group::value_in(const Member& member, const std::string& item) {
  std::string value;
  for (const Commit& commit : member.log) {
    for (const auto& [written, data] : commit.writes) {
      value = written == item ? data : value;
    }
  }
  return value;
}

Group::Answer Group::done(const std::string& signature, const std::string& row) {
  return {(row.empty() ? std::string() : "ROW " + row + "\r\n") + "COMPLETE " + signature + "\r\n", false};
}

Group::Answer Group::error(Session& session, const std::string& code, const Member& member) const {
  // An error that says that the statement was not run leaves the transaction open, except that it has lost its leader.
  session.failed = session.failed || (session.in_transaction && code != "BUSY" && code != "NOSTMT");
  return {"ERROR " + code + " " + member.id + "\r\n", true};
}

void Group::wait_for_path(const Member& member, const std::string& zone, std::unique_lock<std::mutex>& lock) {
  while (member.frozen || !m_network.connects(member.zone, zone)) {
    m_changed.wait_for(lock, kPathCheck);
  }
}

void Group::serve(Member& member, const std::string& zone, Connection& connection) {
  {
    const std::lock_guard lock(m_mutex);
    if (!member.up) {
      return;
    }
    member.connections.insert(&connection);
  }
  Session session;
  session.member = &member;
  const auto hello = connection.read_line();
  std::string_view rest = hello.has_value() ? std::string_view(*hello) : std::string_view();
  const bool is_startup = take_word(rest) == "STARTUP";
  const bool is_service = take_word(rest) == m_settings.service;
  take_word(rest);
  if (!is_startup || !is_service || (!rest.empty() && rest != member.id)) {
    connection.send("ERROR WRONGNODE " + member.id + "\r\n");
  } else {
    sleep_for(m_settings.connect_time);
    for (auto line = std::optional<std::string>("QUERY - NONE"); line.has_value(); line = connection.read_line()) {
      std::unique_lock lock(m_mutex);
      wait_for_path(member, zone, lock);
      lock.unlock();
      std::string_view text(*line);
      if (take_word(text) != "QUERY") {
        break;
      }
      const std::string id(take_word(text));
      const Answer answer = text == "NONE" ? Answer{} : run(session, id, text);
      lock.lock();
      wait_for_path(member, zone, lock);
      const std::string state = session.failed ? "E" : session.in_transaction ? "T" : "I";
      const std::string ready = "READY " + state + " " + to_text(end_of(member)) + "\r\n";
      lock.unlock();
      if (!connection.send(answer.text + ready)) {
        break;
      }
    }
  }
  const std::lock_guard lock(m_mutex);
  member.connections.erase(&connection);
}

Group::Answer Group::run(Session& session, const std::string& id, std::string_view text) {
  Member& member = *session.member;
  if (id != "-") {
    const std::lock_guard lock(m_mutex);
    m_reached.insert(id);
    m_record.line("member " + member.id + " gets " + id + " " + std::string(text));
  }
  std::string_view rest = text;
  std::string_view verb = take_word(rest);
  if (verb == "AFTER") {
    const Position required = parse_position(take_word(rest));
    verb = take_word(rest);
    const std::lock_guard lock(m_mutex);
    if (end_of(member) < required) {
      return error(session, "LAGGING", member);
    }
  }
  if (session.failed && verb != "ROLLBACK" && verb != "COMMIT") {
    return {"ERROR MALFORMED " + member.id + "\r\n", true};
  }
  if (verb == "READ") {
    return run_read(session, id, std::string(rest));
  }
  if (verb == "WRITE") {
    const std::string item(take_word(rest));
    return run_write(session, id, item, std::string(rest));
  }
  if (verb == "EXECUTE") {
    return run_execute(session, id, rest);
  }
  if (verb == "COMMIT") {
    return run_commit(session, id);
  }
  if (verb == "BEGIN") {
    return begin(session, rest);
  }
  if (verb == "ROLLBACK") {
    session.in_transaction = session.failed = false;
    session.writes.clear();
    return done("-");
  }
  return run_internal(session, verb, rest);
}

Group::Answer Group::run_internal(Session& session, std::string_view verb, std::string_view rest) {
  Member& member = *session.member;
  const std::string name(verb == "STATUS" ? std::string_view() : take_word(rest));
  if (verb == "SET") {
    session.values[name] = rest;
    return done("-");
  }
  if (verb == "PREPARE") {
    const std::string access(take_word(rest));
    if ((access != "READ" && access != "WRITE") || rest.empty()) {
      return error(session, "MALFORMED", member);
    }
    session.prepared[name] = {access, std::string(rest)};
    return done("-");
  }
  if (verb == "CLOSE") {
    session.prepared.erase(name);
    return done("-");
  }
  if (verb == "RESET") {
    session.values.clear();
    session.prepared.clear();
    return done("-");
  }
  const std::lock_guard lock(m_mutex);
  const std::uint64_t term = std::strtoull(name.c_str(), nullptr, 10);
  if (verb == "PAUSE") {
    if (!member.is_primary && term > member.term) {
      member.paused_below = term;
      m_record.line("member " + member.id + " is paused at " + to_text(end_of(member)));
    }
  } else if (verb == "RESUME") {
    member.paused_below = 0;
    m_record.line("member " + member.id + " resumes");
    replicate();
  } else if (verb == "DEMOTE") {
    if (member.is_primary && term > member.term) {
      member.is_primary = false;
      m_record.line("member " + member.id + " is demoted");
    }
  } else if (verb != "STATUS") {
    return error(session, "MALFORMED", member);
  }
  m_changed.notify_all();
  return status(member);
}

Group::Answer Group::status(const Member& member) {
  return done("-", std::string(member.is_primary ? "primary" : "replica") + " " + std::to_string(member.term) + " " +
                       to_text(end_of(member)) + " " + std::to_string(member.paused_below) + " 0 " +
                       std::to_string(member.busy) + " " + std::to_string(member.connections.size()));
}

bool Group::work(Member& member) {
  {
    const std::lock_guard lock(m_mutex);
    if (member.busy >= m_settings.slots) {
      return false;
    }
    ++member.busy;
  }
  sleep_for(m_settings.work_time);
  const std::lock_guard lock(m_mutex);
  --member.busy;
  return true;
}

Group::Answer Group::begin(Session& session, std::string_view rest) {
  const std::lock_guard lock(m_mutex);
  session.read_only = rest == "READ";
  if (!session.read_only && !session.member->is_primary) {
    return error(session, "READONLY", *session.member);
  }
  session.in_transaction = true;
  session.failed = false;
  session.began_in_term = session.member->term;
  return done("-");
}

Group::Answer Group::run_read(Session& session, const std::string& id, const std::string& item) {
  Member& member = *session.member;
  if (!work(member)) {
    return error(session, "BUSY", member);
  }
  const std::lock_guard lock(m_mutex);
  std::string value = value_in(member, item);
  m_reads[id] = {end_of(member), member.id};
  for (const auto& [written, data] : session.writes) {
    value = written == item ? data : value;
  }
  return done("sig-" + member.id + "-" + id, value.empty() ? "none" : value);
}

Group::Answer Group::run_write(Session& session, const std::string& id, const std::string& item,
                               const std::string& data) {
  Member& member = *session.member;
  {
    const std::lock_guard lock(m_mutex);
    if (!member.is_primary || (session.in_transaction && session.began_in_term != member.term)) {
      return error(session, "READONLY", member);
    }
  }
  if (!work(member)) {
    return error(session, "BUSY", member);
  }
  if (session.in_transaction) {
    session.writes.emplace_back(item, data);
    return done("sig-" + member.id + "-" + id);
  }
  if (!commit(member, {{}, id, {{item, data}}})) {
    return error(session, "FAILED", member);
  }
  return done("sig-" + member.id + "-" + id);
}

Group::Answer Group::run_execute(Session& session, const std::string& id, std::string_view rest) {
  const std::string name(take_word(rest));
  const auto prepared = session.prepared.find(name);
  if (prepared == session.prepared.end()) {
    return error(session, "NOSTMT", *session.member);
  }
  const auto& [access, shape] = prepared->second;
  const std::string item(take_word(rest));
  m_record.line("member " + session.member->id + " runs " + id + ": shape '" + shape + "', item '" + item +
                "', data '" + std::string(rest) + "'");
  {
    const std::lock_guard lock(m_mutex);
    m_shapes[id] = shape;
  }
  return access == "READ" ? run_read(session, id, item) : run_write(session, id, item, std::string(rest));
}

Group::Answer Group::run_commit(Session& session, const std::string& id) {
  Member& member = *session.member;
  const bool failed = session.failed || !session.in_transaction;
  std::vector<std::pair<std::string, std::string>> writes;
  writes.swap(session.writes);
  session.in_transaction = session.failed = false;
  if (failed) {
    return error(session, "ABORTED", member);
  }
  {
    const std::lock_guard lock(m_mutex);
    if (!writes.empty() && (!member.is_primary || session.began_in_term != member.term)) {
      return error(session, "READONLY", member);
    }
  }
  work(member);
  if (!writes.empty() && !commit(member, {{}, id, std::move(writes)})) {
    return error(session, "FAILED", member);
  }
  return done("sig-" + member.id + "-" + id);
}

bool Group::commit(Member& member, Commit commit) {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [&member] { return !member.frozen; });
  if (!member.is_primary) {
    return false;
  }
  const std::uint64_t term = member.term;
  const Position position{term, end_of(member).second + 1};
  commit.position = position;
  m_record.line("member " + member.id + " commits " + commit.request + " at " + to_text(position));
  m_commits[commit.request] = position;
  member.log.push_back(std::move(commit));
  replicate();
  const auto is_received = [&] {
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& other) {
      return other->index != member.index && other->up && m_network.connects(other->zone, member.zone) &&
             end_of(*other) >= position;
    });
  };
  const auto is_over = [&] {
    return !member.frozen && (!member.is_primary || member.term != term || m_members.size() == 1 || is_received());
  };
  while (!is_over()) {
    m_changed.wait_for(lock, kPathCheck);
    replicate();
  }
  return member.is_primary && member.term == term;
}

void Group::replicate() {
  const auto is_newer = [](const auto& left, const auto& right) {
    return std::pair(left->is_primary, left->term) < std::pair(right->is_primary, right->term);
  };
  const Member& primary = **std::max_element(m_members.begin(), m_members.end(), is_newer);
  if (!primary.is_primary || !primary.up || primary.frozen) {
    return;
  }
  for (const auto& member : m_members) {
    if (member->index == primary.index || !member->up || member->frozen || member->paused_below > primary.term ||
        !m_network.connects(member->zone, primary.zone)) {
      continue;
    }
    if (end_of(*member) < end_of(primary)) {
      member->log = primary.log;
      m_record.line("member " + member->id + " receives up to " + to_text(end_of(*member)));
    }
    member->term = primary.term;
  }
  m_changed.notify_all();
}

HttpResponse Group::promote(const HttpRequest& request) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const std::string id = body.value("id", "");
  const auto header = request.headers.find("x-fencing-token");
  const std::uint64_t token = header == request.headers.end() ? 0 : std::strtoull(header->second.c_str(), nullptr, 10);
  const std::lock_guard lock(m_mutex);
  const auto found =
      std::find_if(m_members.begin(), m_members.end(), [&id](const auto& member) { return member->id == id; });
  m_record.line("platform gets promote " + id + " with token " + std::to_string(token));
  if (token < m_highest_token || found == m_members.end() || !(*found)->up) {
    return {409, "{}"};
  }
  m_highest_token = token;
  if (!(*found)->is_primary) {
    std::thread([this, index = (*found)->index] {
      sleep_for(m_settings.promote_time);
      finish_promotion(index);
    }).detach();
  }
  return {200, "{}"};
}

void Group::finish_promotion(std::size_t index) {
  const std::lock_guard lock(m_mutex);
  Member& leader = *m_members.at(index);
  if (!leader.up || leader.is_primary) {
    return;
  }
  std::uint64_t newest = 0;
  for (const auto& member : m_members) {
    newest = std::max(newest, member->term);
  }
  const Position held = end_of(leader);
  leader.is_primary = true;
  leader.term = newest + 1;
  m_record.line("member " + leader.id + " leads term " + std::to_string(leader.term) + " with " + to_text(held));
  for (const auto& member : m_members) {
    member->paused_below = 0;
    if (member->index == index) {
      continue;
    }
    member->is_primary = false;
    while (!member->log.empty() && member->log.back().position > held) {
      member->log.pop_back();
    }
  }
  replicate();
  write_entry(leader);
  m_changed.notify_all();
}

void Group::set_frozen(std::size_t member, bool frozen) {
  const std::lock_guard lock(m_mutex);
  m_members.at(member)->frozen = frozen;
  m_record.line("member " + m_members.at(member)->id + (frozen ? " is stopped" : " continues"));
  if (!frozen) {
    replicate();
  }
  m_changed.notify_all();
}

void Group::crash(std::size_t member) {
  const std::lock_guard lock(m_mutex);
  Member& crashed = *m_members.at(member);
  crashed.up = false;
  m_record.line("member " + crashed.id + " crashes at " + to_text(end_of(crashed)));
  for (const Connection* connection : crashed.connections) {
    connection->shut_down();
  }
}

void Group::restart(std::size_t member) {
  const std::lock_guard lock(m_mutex);
  Member& restarted = *m_members.at(member);
  restarted.up = true;
  restarted.paused_below = 0;
  m_record.line("member " + restarted.id + " starts again with its log up to " + to_text(end_of(restarted)));
  replicate();
  write_entry(restarted);
}

bool Group::wait_until_paused(std::size_t member, Milliseconds timeout) {
  std::unique_lock lock(m_mutex);
  return m_changed.wait_for(lock, timeout, [&] { return m_members.at(member)->paused_below > 0; });
}

std::size_t Group::leader() {
  const std::lock_guard lock(m_mutex);
  std::size_t newest = 0;
  for (const auto& member : m_members) {
    if (member->is_primary && member->term >= m_members.at(newest)->term) {
      newest = member->index;
    }
  }
  return newest;
}

bool Group::holds(std::size_t member, const std::string& request) {
  const std::lock_guard lock(m_mutex);
  const auto& log = m_members.at(member)->log;
  return std::any_of(log.begin(), log.end(), [&request](const Commit& commit) { return commit.request == request; });
}

std::string Group::value_of(std::size_t member, const std::string& item) {
  const std::lock_guard lock(m_mutex);
  return value_in(*m_members.at(member), item);
}

bool Group::has_reached(const std::string& request) {
  const std::lock_guard lock(m_mutex);
  return m_reached.contains(request);
}

std::optional<std::pair<Position, std::string>> Group::read_position(const std::string& request) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_reads.find(request);
  return found == m_reads.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Position> Group::commit_position(const std::string& request) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_commits.find(request);
  return found == m_commits.end() ? std::nullopt : std::optional(found->second);
}

std::string Group::shape_run_for(const std::string& request) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_shapes.find(request);
  return found == m_shapes.end() ? std::string() : found->second;
}

}  // namespace teaselrudder::review
