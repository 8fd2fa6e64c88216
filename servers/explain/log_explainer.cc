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

/// Time before the end of a request in which events of its group are taken as possible causes, in milliseconds.
constexpr std::int64_t kContextWindowMs = 5000;
/// Events that record what a host knows about its environment. The newest of each kind before the request is shown.
constexpr std::array<std::string_view, 7> kHostStateEvents = {
    "readiness", "minority", "configuration", "store_lost", "store_regained", "store_restored", "process_paused"};
/// Events of a group; their field `group` contains its name.
constexpr std::array<std::string_view, 6> kGroupEvents = {"replacement",       "leader_announced",
                                                          "primary_learned",   "member_seen",
                                                          "member_entry_gone", "member_connection_failed"};

template <std::size_t kSize>
bool contains(std::string_view event, const std::array<std::string_view, kSize>& events) {
  return std::find(events.begin(), events.end(), event) != events.end();
}

/// Returns an ISO 8601 time in milliseconds. The time zone is ignored, so only differences are meaningful.
std::int64_t parse_milliseconds(const std::string& time) {
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

std::string format_line(const EventLine& line) {
  std::string text = line.time + " " + line.host + " " + line.event;
  for (const auto& [name, value] : line.fields) {
    if (name != "level") {
      text.append(" ").append(name).append("=").append(value);
    }
  }
  return text;
}

std::string format_with_age(const EventLine& line, std::int64_t reference_ms) {
  return "  " + std::to_string(reference_ms - parse_milliseconds(line.time)) + " ms earlier: " + format_line(line);
}

/// State of the host, the store and the group around a refused request.
struct RefusalContext {
  /// The last step of an unfinished replacement of the group's primary.
  std::optional<EventLine> replacement;
  /// Connections to members of the group that failed, because of the connection limit and for other reasons.
  std::size_t connection_limit_failures = 0;
  std::size_t connection_failures = 0;
  bool store_unavailable = false;
  /// True if the store was restored from an older copy in the time before the refusal that is looked at.
  bool store_restored = false;
  bool primary_leaving = false;
  /// True if a replica was behind in an attempt to run the request.
  bool replica_behind = false;
};

std::string describe_refusal_cause(const EventLine& refusal, const RefusalContext& context) {
  const std::string code = refusal.field("code");
  const std::string cause = refusal.field("cause");
  const std::string last_error = refusal.field("last_error");
  const auto has = [&cause](std::string_view text) { return cause.find(text) != std::string::npos; };
  std::string result;
  if (has("cut off")) {
    result =
        "the host was isolated: it received reports from only a minority of the hosts and did not reach the primary";
  } else if (has("too many statements wait")) {
    result = "overload: the queue of statements for the group was full";
  } else if (has("no route") || has("group has no members")) {
    result = "the host had no route for the database or no known members of the group";
  } else if (code == "lagging") {
    result =
        last_error == "lagging"
            ? "replicas were behind the required log position, and the primary had no free slot or connection in time"
            : "no recent evidence of the primary's log position";
  } else if (context.replacement.has_value()) {
    result = "a failover of the group was in progress (" + context.replacement->field("cause") + ")";
  } else if (context.primary_leaving) {
    result = "the primary was leaving";
  } else if (context.connection_limit_failures > 0 && has("no connection")) {
    result = "members had reached their connection limit (" + std::to_string(context.connection_limit_failures) +
             " connections refused before)";
  } else if (last_error == "busy") {
    result = "overload: the member had no free slot";
  } else if (has("connection to the member was lost") || has("connection of the transaction was lost")) {
    result = "the connection to the member was lost";
  } else if (has("did not answer")) {
    result = context.connection_failures > 0 ? "the member did not answer, on new connections either"
                                             : "the member did not answer in time";
  } else if (has("no connection or primary in time")) {
    result = context.connection_failures > 0
                 ? "the primary could not be reached"
                 : "overload: the statement waited for a slot or connection until its timeout";
  } else {
    result = cause.empty() ? "the member answered " + code : cause;
  }
  if (code == "in_doubt") {
    result += "; the write had been sent, so its outcome is unknown";
  } else if (refusal.field("ran") == "no") {
    result += "; the request had no effect";
  }
  if (context.replica_behind && result.find("replicas were behind") == std::string::npos) {
    result += "; replicas were behind the required log position";
  }
  if (context.store_restored) {
    result += "; the platform's store had just come back from an older copy";
  }
  return result + (context.store_unavailable ? "; the platform's store was unavailable" : "");
}

}  // namespace

RequestExplanation explain_request(const LogArchive& logs, const std::string& request) {
  RequestExplanation explanation;
  std::vector<const EventLine*> request_lines;
  for (const EventLine& line : logs.lines()) {
    if (line.field("request") == request) {
      request_lines.push_back(&line);
    }
  }
  explanation.found = !request_lines.empty();
  if (request_lines.empty()) {
    explanation.cause =
        "the logs do not contain the request: it was served at the first attempt, or its lines were dropped";
    return explanation;
  }
  const EventLine& last = *request_lines.back();
  const std::int64_t end_ms = parse_milliseconds(last.time);
  const std::string group = last.field("group");
  std::map<std::string, const EventLine*> host_state;
  std::vector<const EventLine*> events;
  RefusalContext context;
  for (const EventLine& line : logs.lines()) {
    const std::int64_t age = end_ms - parse_milliseconds(line.time);
    if (age < 0) {
      continue;
    }
    const bool same_host = line.host == last.host;
    if (same_host && line.event == "started") {
      host_state.clear();
      context = {};
    }
    if (same_host && contains(line.event, kHostStateEvents)) {
      host_state[line.event] = &line;
      if (line.event.starts_with("store_")) {
        context.store_unavailable = line.event == "store_lost";
        context.store_restored = context.store_restored || (line.event == "store_restored" && age <= kContextWindowMs);
      }
    }
    if (line.field("group") != group || !contains(line.event, kGroupEvents) || age > kContextWindowMs) {
      continue;
    }
    const bool is_limit_error = line.event == "member_connection_failed" &&
                                line.field("kind") == to_string(MemberLinkErrorKind::kTooManyConnections);
    if (line.event == "replacement") {
      context.replacement = line.field("to") == "watching" ? std::nullopt : std::optional<EventLine>(line);
      events.push_back(&line);
    } else if (line.event == "member_seen") {
      const bool is_primary = line.field("member") == last.field("primary");
      context.primary_leaving = is_primary ? line.field("leaving") == "yes" : context.primary_leaving;
      if (same_host) {
        events.push_back(&line);
      }
    } else if (same_host) {
      context.connection_limit_failures += is_limit_error ? 1 : 0;
      context.connection_failures += line.event == "member_connection_failed" && !is_limit_error ? 1 : 0;
      events.push_back(&line);
    }
  }
  explanation.timeline.push_back("request " + request + ":");
  for (const EventLine* const line : request_lines) {
    context.replica_behind = context.replica_behind || line->field("reason") == "lagging";
    explanation.timeline.push_back("  " + format_line(*line));
  }
  explanation.timeline.push_back("state known to " + last.host + ":");
  for (const auto& [event, line] : host_state) {
    explanation.timeline.push_back(format_with_age(*line, end_ms));
  }
  explanation.timeline.push_back("what happened to " + group + " in the " + std::to_string(kContextWindowMs) +
                                 " ms before:");
  for (const EventLine* const line : events) {
    explanation.timeline.push_back(format_with_age(*line, end_ms));
  }
  explanation.cause = last.event == "refused"
                          ? describe_refusal_cause(last, context)
                          : "served after " + std::to_string(request_lines.size()) +
                                " more attempts, the last because of '" + last.field("reason") + "'";
  return explanation;
}

std::vector<std::string> explain_group(const LogArchive& logs, const std::string& group) {
  std::vector<std::string> timeline;
  std::optional<std::int64_t> previous_ms;
  for (const EventLine& line : logs.lines()) {
    const bool is_duty_event = line.event == "duty_begins" || line.event == "duty_ends";
    const bool is_group_event =
        line.field("group") == group && contains(line.event, kGroupEvents) && line.event != "member_connection_failed";
    if (!is_duty_event && !is_group_event) {
      continue;
    }
    const std::int64_t time_ms = parse_milliseconds(line.time);
    timeline.push_back("+" + std::to_string(previous_ms.has_value() ? time_ms - *previous_ms : 0) + " ms " +
                       format_line(line));
    previous_ms = time_ms;
  }
  return timeline;
}

}  // namespace teaselrudder
