#include "servers/explain/log_explainer.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <ctime>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>

#include "core/ports/member_link_port.h"

namespace teaselrudder {

namespace {

/// Time before a request's end in which events of its group may have caused it, in milliseconds.
constexpr std::int64_t kContext = 5000;
/// Lines that tell how a host saw its surroundings; the newest of each kind before the request counts.
constexpr std::array<std::string_view, 6> kHostBeliefs = {"readiness",  "minority",       "configuration",
                                                          "store_lost", "store_regained", "process_paused"};
/// Events of a group, whose `group` field names it.
constexpr std::array<std::string_view, 5> kGroupEvents = {"replacement", "primary_learned", "member_seen",
                                                          "member_entry_gone", "member_connection_failed"};

template <std::size_t kSize>
bool is_one_of(std::string_view event, const std::array<std::string_view, kSize>& events) {
  return std::find(events.begin(), events.end(), event) != events.end();
}

/// Returns the milliseconds of a time in ISO 8601, for differences only.
std::int64_t milliseconds_of(const std::string& time) {
  std::tm parts{};
  std::istringstream text(time);
  text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  std::int64_t fraction = 0;
  if (text.peek() == '.') {
    text.get();
    text >> fraction;
  }
  return static_cast<std::int64_t>(timegm(&parts)) * 1000 + fraction;
}

std::string to_text(const EventLine& line) {
  std::string text = line.time + " " + line.host + " " + line.event;
  for (const auto& [name, value] : line.fields) {
    if (name != "level") {
      text.append(" ").append(name).append("=").append(value);
    }
  }
  return text;
}

std::string with_age(const EventLine& line, std::int64_t now) {
  return "  " + std::to_string(now - milliseconds_of(line.time)) + " ms earlier: " + to_text(line);
}

/// What happened around a request that was not served.
struct Surroundings {
  /// The last step of a replacement of the group.
  std::optional<EventLine> replacement;
  std::size_t connection_limit = 0;
  std::size_t connection_failures = 0;
  bool store_away = false;
  bool primary_leaves = false;
  /// An attempt of the request met a replica that was behind.
  bool replica_behind = false;
};

std::string cause_of_refusal(const EventLine& refusal, const Surroundings& around) {
  const std::string code = refusal.field("code");
  const std::string cause = refusal.field("cause");
  const std::string last_error = refusal.field("last_error");
  const auto has = [&cause](std::string_view text) { return cause.find(text) != std::string::npos; };
  std::string result;
  if (has("cut off")) {
    result = "the host was cut off: it heard a minority of the fleet and did not reach the primary";
  } else if (has("too many statements wait")) {
    result = "overload: as many statements waited for the group as may wait";
  } else if (has("no route") || has("group has no members")) {
    result = "the host knew no members of the group";
  } else if (code == "lagging") {
    result = last_error == "lagging" ? "replicas were behind the bound, and the primary had no room in time"
                                     : "no evidence of the primary's position was recent enough";
  } else if (around.replacement.has_value()) {
    result = "a failover of the group was under way (" + around.replacement->field("cause") + ")";
  } else if (around.primary_leaves) {
    result = "the primary was leaving";
  } else if (around.connection_limit > 0 && has("no connection")) {
    result = "members took no more connections (" + std::to_string(around.connection_limit) + " refusals before)";
  } else if (last_error == "busy") {
    result = "overload: the member had no room";
  } else if (has("connection to the member was lost") || has("connection of the transaction was lost")) {
    result = "the connection to the member broke";
  } else if (has("did not answer")) {
    result = around.connection_failures > 0 ? "the member was silent, also for new connections"
                                            : "the member did not answer in time";
  } else if (has("no connection or primary in time")) {
    result = around.connection_failures > 0 ? "the primary could not be reached"
                                            : "overload: the statement waited for room until its time was over";
  } else {
    result = cause.empty() ? "the member answered " + code : cause;
  }
  if (code == "in_doubt") {
    result += "; the write was on its way, so its outcome is unknown";
  } else if (refusal.field("ran") == "no") {
    result += "; nothing was kept";
  }
  if (around.replica_behind && result.find("replicas were behind") == std::string::npos) {
    result += "; replicas were behind the bound";
  }
  return result + (around.store_away ? "; the platform's store was away" : "");
}

}  // namespace

RequestExplanation explain_request(const LogArchive& logs, const std::string& request) {
  RequestExplanation explanation;
  std::vector<const EventLine*> own;
  for (const EventLine& line : logs.lines()) {
    if (line.field("request") == request) {
      own.push_back(&line);
    }
  }
  explanation.found = !own.empty();
  if (own.empty()) {
    explanation.cause = "no line names the request: it was served at the first attempt, or its lines were dropped";
    return explanation;
  }
  const EventLine& last = *own.back();
  const std::int64_t now = milliseconds_of(last.time);
  const std::string group = last.field("group");
  std::map<std::string, const EventLine*> beliefs;
  std::vector<const EventLine*> events;
  Surroundings around;
  for (const EventLine& line : logs.lines()) {
    const std::int64_t age = now - milliseconds_of(line.time);
    if (age < 0) {
      continue;
    }
    const bool own_host = line.host == last.host;
    if (own_host && line.event == "started") {
      beliefs.clear();
      around = {};
    }
    if (own_host && is_one_of(line.event, kHostBeliefs)) {
      beliefs[line.event] = &line;
      if (line.event.starts_with("store_")) {
        around.store_away = line.event == "store_lost";
      }
    }
    if (line.field("group") != group || !is_one_of(line.event, kGroupEvents) || age > kContext) {
      continue;
    }
    const bool limit = line.event == "member_connection_failed" &&
                       line.field("kind") == to_string(MemberLinkErrorKind::kTooManyConnections);
    if (line.event == "replacement") {
      around.replacement = line.field("to") == "watching" ? std::nullopt : std::optional<EventLine>(line);
      events.push_back(&line);
    } else if (line.event == "member_seen") {
      const bool is_primary = line.field("member") == last.field("primary");
      around.primary_leaves = is_primary ? line.field("leaving") == "yes" : around.primary_leaves;
      if (own_host) {
        events.push_back(&line);
      }
    } else if (own_host) {
      around.connection_limit += limit ? 1 : 0;
      around.connection_failures += line.event == "member_connection_failed" && !limit ? 1 : 0;
      events.push_back(&line);
    }
  }
  explanation.course.push_back("request " + request + ":");
  for (const EventLine* const line : own) {
    around.replica_behind = around.replica_behind || line->field("reason") == "lagging";
    explanation.course.push_back("  " + to_text(*line));
  }
  explanation.course.push_back("what " + last.host + " believed:");
  for (const auto& [event, line] : beliefs) {
    explanation.course.push_back(with_age(*line, now));
  }
  explanation.course.push_back("what happened to " + group + " in the " + std::to_string(kContext) + " ms before:");
  for (const EventLine* const line : events) {
    explanation.course.push_back(with_age(*line, now));
  }
  explanation.cause = last.event == "refused"
                          ? cause_of_refusal(last, around)
                          : "served after " + std::to_string(own.size()) + " more attempts, the last because of '" +
                                last.field("reason") + "'";
  return explanation;
}

std::vector<std::string> explain_group(const LogArchive& logs, const std::string& group) {
  std::vector<std::string> course;
  std::optional<std::int64_t> before;
  for (const EventLine& line : logs.lines()) {
    const bool duty = line.event == "duty_begins" || line.event == "duty_ends";
    const bool of_group =
        line.field("group") == group && is_one_of(line.event, kGroupEvents) && line.event != "member_connection_failed";
    if (!duty && !of_group) {
      continue;
    }
    const std::int64_t now = milliseconds_of(line.time);
    course.push_back("+" + std::to_string(before.has_value() ? now - *before : 0) + " ms " + to_text(line));
    before = now;
  }
  return course;
}

}  // namespace teaselrudder
