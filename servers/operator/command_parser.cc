#include "servers/operator/command_parser.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <stdexcept>

#include "core/config/configuration_json.h"
#include "core/parse_number.h"
#include "servers/operator/command_grammar.h"
#include "servers/operator/operator_view.h"

namespace teaselrudder {

namespace {

namespace pegtl = tao::pegtl;

// A value that has the right form but is out of range.
class BadValue : public std::runtime_error {
 public:
  BadValue(const CommandPosition& position, std::string expected)
      : std::runtime_error("a value is out of range"), m_position(position), m_expected(std::move(expected)) {}

  const CommandPosition& position() const { return m_position; }
  const std::string& expected() const { return m_expected; }

 private:
  CommandPosition m_position;
  std::string m_expected;
};

// What the actions have collected so far.
struct Collected {
  ChangeCommand changes;
  std::optional<ShowQuery> query;
  SetGroup group;
  SetService service;
  bool drain = true;
  std::string text;
  Endpoint endpoint;
  std::uint64_t number = 0;
  Duration duration{0};
  bool yes = false;
  GroupId drain_group;
  CommandPosition position;

  MemberClause& member() { return group.members.back(); }
  void add(ChangeStatement statement) { changes.changes.push_back({std::move(statement), position}); }
};

template <typename Input>
CommandPosition position_of(const Input& input) {
  const pegtl::position position = input.position();
  return {position.line, position.column};
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return text;
}

std::uint32_t small_number(std::uint64_t number, const CommandPosition& position) {
  if (number > std::numeric_limits<std::uint32_t>::max()) {
    throw BadValue(position, "a number up to 4294967295");
  }
  return static_cast<std::uint32_t>(number);
}

// Returns the duration that `text`, a number and a unit, states.
std::optional<Duration> parse_duration(const std::string& text) {
  const std::size_t digits = text.find_first_not_of("0123456789");
  const auto number = parse_unsigned(std::string_view(text).substr(0, digits));
  const std::string unit = lower(text.substr(digits));
  const std::uint64_t milliseconds = unit == "ms" ? 1 : unit == "s" ? 1000 : unit == "m" ? 60000 : 3600000;
  constexpr std::uint64_t kHighestMilliseconds = std::numeric_limits<std::uint32_t>::max();
  if (!number.has_value() || *number > kHighestMilliseconds / milliseconds) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*number * milliseconds);
}

template <typename Rule>
struct Action : pegtl::nothing<Rule> {};

// Declares what a rule does with its text and the place at which it begins.
template <void (*Apply)(Collected&, const std::string&, const CommandPosition&)>
struct TextAction {
  template <typename ActionInput>
  static void apply(const ActionInput& input, Collected& collected) {
    Apply(collected, input.string(), position_of(input));
  }
};

void keep_text(Collected& collected, const std::string& text, const CommandPosition& /*position*/) {
  collected.text = text;
}

void keep_quoted(Collected& collected, const std::string& text, const CommandPosition& /*position*/) {
  collected.text.clear();
  for (std::size_t index = 0; index < text.size(); ++index) {
    collected.text += text[index];
    index += text[index] == '\'' ? 1 : 0;
  }
}

void keep_number(Collected& collected, const std::string& text, const CommandPosition& position) {
  const auto number = parse_unsigned(text);
  if (!number.has_value()) {
    throw BadValue(position, "a number up to 18446744073709551615");
  }
  collected.number = *number;
}

void keep_duration(Collected& collected, const std::string& text, const CommandPosition& position) {
  const auto duration = parse_duration(text);
  if (!duration.has_value()) {
    throw BadValue(position, "a duration up to 1193h");
  }
  collected.duration = *duration;
}

void keep_ip(Collected& collected, const std::string& text, const CommandPosition& /*position*/) {
  collected.endpoint.ip = text.starts_with('[') ? text.substr(1, text.size() - 2) : text;
}

void keep_port(Collected& collected, const std::string& text, const CommandPosition& position) {
  const auto port = parse_unsigned(text);
  if (!port.has_value() || *port == 0 || *port > std::numeric_limits<std::uint16_t>::max()) {
    throw BadValue(position, "a port from 1 to 65535");
  }
  collected.endpoint.port = static_cast<std::uint16_t>(*port);
}

void keep_yes(Collected& collected, const std::string& text, const CommandPosition& /*position*/) {
  collected.yes = lower(text) == "yes";
}

void add_member(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.group.members.push_back({MemberId(collected.text), {}, {}, {}, {}});
}

void set_endpoint(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.member().endpoint = collected.endpoint;
}

void set_domain(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.member().failure_domain = FailureDomainId(collected.text);
}

void set_slots(Collected& collected, const std::string& /*text*/, const CommandPosition& position) {
  collected.member().slots = small_number(collected.number, position);
}

void set_connections(Collected& collected, const std::string& /*text*/, const CommandPosition& position) {
  collected.member().connections = small_number(collected.number, position);
}

void begin_group(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.group = SetGroup{GroupId(collected.text), {}};
}

void end_group(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(collected.group);
}

void set_service_group(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.group = GroupId(collected.text);
}

void set_freshness(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.freshness = freshness_from_string(lower(collected.text));
}

void set_max_age(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.max_age = collected.duration;
}

void set_urgency(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.urgency = urgency_from_string(lower(collected.text));
}

void set_idempotent(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.idempotent = collected.yes;
}

void set_read_only(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.read_only = collected.yes;
}

void set_deadline(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service.deadline = collected.duration;
}

void set_max_in_flight(Collected& collected, const std::string& /*text*/, const CommandPosition& position) {
  collected.service.max_in_flight = small_number(collected.number, position);
}

void begin_service(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.service = SetService{};
  collected.service.name = ServiceName(collected.text);
}

void end_service(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(collected.service);
}

void drop_group(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(DropGroup{GroupId(collected.text)});
}

void drop_service(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(DropService{ServiceName(collected.text)});
}

void begin_drain(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.drain = true;
}

void begin_undrain(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.drain = false;
}

void drain_host(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(DrainHost{HostId(collected.text), collected.drain});
}

void drain_domain(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(DrainDomain{FailureDomainId(collected.text), collected.drain});
}

void keep_drain_group(Collected& collected, const std::string& text, const CommandPosition& /*position*/) {
  collected.drain_group = GroupId(text);
}

void drain_upstream(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.add(DrainUpstream{collected.drain_group, MemberId(collected.text), collected.drain});
}

void begin_change(Collected& collected, const std::string& /*text*/, const CommandPosition& position) {
  collected.position = position;
}

void show_what(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  const auto names = show_target_names();
  const auto found = std::find(names.begin(), names.end(), lower(collected.text));
  collected.query = ShowQuery{static_cast<ShowTarget>(found - names.begin()), {}, {}};
}

void show_of(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.query->of = collected.text;
}

void where_column(Collected& collected, const std::string& /*text*/, const CommandPosition& position) {
  collected.query->where = RowFilter{lower(collected.text), {}, position};
}

void where_value(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.query->where->value = collected.text;
}

void based_on(Collected& collected, const std::string& /*text*/, const CommandPosition& /*position*/) {
  collected.changes.based_on = ConfigurationVersion(collected.number);
}

template <>
struct Action<grammar::NameText> : TextAction<keep_text> {};
template <>
struct Action<grammar::PlainText> : TextAction<keep_text> {};
template <>
struct Action<grammar::QuotedText> : TextAction<keep_quoted> {};
template <>
struct Action<grammar::NumberText> : TextAction<keep_number> {};
template <>
struct Action<grammar::DurationText> : TextAction<keep_duration> {};
template <>
struct Action<grammar::IpText> : TextAction<keep_ip> {};
template <>
struct Action<grammar::PortText> : TextAction<keep_port> {};
template <>
struct Action<grammar::YesNoText> : TextAction<keep_yes> {};
template <>
struct Action<grammar::FreshnessText> : TextAction<keep_text> {};
template <>
struct Action<grammar::UrgencyText> : TextAction<keep_text> {};
template <>
struct Action<grammar::ShowText> : TextAction<keep_text> {};
template <>
struct Action<grammar::DrainMemberText> : TextAction<keep_text> {};

template <>
struct Action<grammar::MemberName> : TextAction<add_member> {};
template <>
struct Action<grammar::EndpointValue> : TextAction<set_endpoint> {};
template <>
struct Action<grammar::DomainName> : TextAction<set_domain> {};
template <>
struct Action<grammar::SlotCount> : TextAction<set_slots> {};
template <>
struct Action<grammar::ConnectionCount> : TextAction<set_connections> {};
template <>
struct Action<grammar::SetGroupName> : TextAction<begin_group> {};
template <>
struct Action<grammar::SetGroupRule> : TextAction<end_group> {};
template <>
struct Action<grammar::ServiceGroup> : TextAction<set_service_group> {};
template <>
struct Action<grammar::FreshnessValue> : TextAction<set_freshness> {};
template <>
struct Action<grammar::ServiceMaxAge> : TextAction<set_max_age> {};
template <>
struct Action<grammar::UrgencyValue> : TextAction<set_urgency> {};
template <>
struct Action<grammar::ServiceIdempotent> : TextAction<set_idempotent> {};
template <>
struct Action<grammar::ServiceReadOnly> : TextAction<set_read_only> {};
template <>
struct Action<grammar::ServiceDeadline> : TextAction<set_deadline> {};
template <>
struct Action<grammar::ServiceInFlight> : TextAction<set_max_in_flight> {};
template <>
struct Action<grammar::SetServiceName> : TextAction<begin_service> {};
template <>
struct Action<grammar::SetServiceRule> : TextAction<end_service> {};
template <>
struct Action<grammar::DropGroupName> : TextAction<drop_group> {};
template <>
struct Action<grammar::DropServiceName> : TextAction<drop_service> {};
template <>
struct Action<grammar::DrainWord> : TextAction<begin_drain> {};
template <>
struct Action<grammar::UndrainWord> : TextAction<begin_undrain> {};
template <>
struct Action<grammar::DrainHostName> : TextAction<drain_host> {};
template <>
struct Action<grammar::DrainDomainName> : TextAction<drain_domain> {};
template <>
struct Action<grammar::DrainGroupText> : TextAction<keep_drain_group> {};
template <>
struct Action<grammar::DrainUpstreamName> : TextAction<drain_upstream> {};
template <>
struct Action<grammar::ChangeStart> : TextAction<begin_change> {};
template <>
struct Action<grammar::ShowWhat> : TextAction<show_what> {};
template <>
struct Action<grammar::OfValue> : TextAction<show_of> {};
template <>
struct Action<grammar::WhereColumn> : TextAction<where_column> {};
template <>
struct Action<grammar::WhereValue> : TextAction<where_value> {};
template <>
struct Action<grammar::BasedOnVersion> : TextAction<based_on> {};

// Puts what the language allows at a place into the error.
template <typename Rule>
struct Control : pegtl::normal<Rule> {
  template <typename Input, typename... States>
  [[noreturn]] static void raise(const Input& input, States&&... /*states*/) {
    throw pegtl::parse_error(Rule::kExpected, input);
  }
};

}  // namespace

tl::expected<Command, CommandError> parse_command(std::string_view text) {
  if (text.size() > kMaxCommandBytes) {
    return tl::unexpected(CommandError{{}, "at most 1000000 bytes", "the command is too long"});
  }
  Collected collected;
  pegtl::memory_input input(text.data(), text.data() + text.size(), "");
  try {
    pegtl::parse<grammar::CommandRule, Action, Control>(input, collected);
  } catch (const pegtl::parse_error& error) {
    const pegtl::position& position = error.positions().front();
    return tl::unexpected(
        CommandError{{position.line, position.column}, std::string(error.message()), "the command does not parse"});
  } catch (const BadValue& error) {
    return tl::unexpected(CommandError{error.position(), error.expected(), error.what()});
  }
  if (collected.query.has_value()) {
    return *collected.query;
  }
  return collected.changes;
}

}  // namespace teaselrudder
