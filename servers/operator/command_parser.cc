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

// Thrown by actions for a value that matches the grammar but is out of range.
class ValueOutOfRange : public std::runtime_error {
 public:
  ValueOutOfRange(const CommandPosition& position, std::string expected)
      : std::runtime_error("a value is out of range"), m_position(position), m_expected(std::move(expected)) {}

  const CommandPosition& position() const { return m_position; }
  const std::string& expected() const { return m_expected; }

 private:
  CommandPosition m_position;
  std::string m_expected;
};

// State of the parser's actions: the command so far, and the last values read for the rule in progress.
struct ParserState {
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

std::uint32_t to_uint32(std::uint64_t number, const CommandPosition& position) {
  if (number > std::numeric_limits<std::uint32_t>::max()) {
    throw ValueOutOfRange(position, "a number up to 4294967295");
  }
  return static_cast<std::uint32_t>(number);
}

// Parses a number followed by a unit. Returns nullopt if the number of milliseconds does not fit in 32 bits.
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

// Action that calls `Apply` with the parser state, the matched text and the position where it begins.
template <void (*Apply)(ParserState&, const std::string&, const CommandPosition&)>
struct TextAction {
  template <typename ActionInput>
  static void apply(const ActionInput& input, ParserState& state) {
    Apply(state, input.string(), position_of(input));
  }
};

void store_text(ParserState& state, const std::string& text, const CommandPosition& /*position*/) { state.text = text; }

void store_quoted_text(ParserState& state, const std::string& text, const CommandPosition& /*position*/) {
  state.text.clear();
  for (std::size_t index = 0; index < text.size(); ++index) {
    state.text += text[index];
    index += text[index] == '\'' ? 1 : 0;
  }
}

void store_number(ParserState& state, const std::string& text, const CommandPosition& position) {
  const auto number = parse_unsigned(text);
  if (!number.has_value()) {
    throw ValueOutOfRange(position, "a number up to 18446744073709551615");
  }
  state.number = *number;
}

void store_duration(ParserState& state, const std::string& text, const CommandPosition& position) {
  const auto duration = parse_duration(text);
  if (!duration.has_value()) {
    throw ValueOutOfRange(position, "a duration up to 1193h");
  }
  state.duration = *duration;
}

void store_ip(ParserState& state, const std::string& text, const CommandPosition& /*position*/) {
  state.endpoint.ip = text.starts_with('[') ? text.substr(1, text.size() - 2) : text;
}

void store_port(ParserState& state, const std::string& text, const CommandPosition& position) {
  const auto port = parse_unsigned(text);
  if (!port.has_value() || *port == 0 || *port > std::numeric_limits<std::uint16_t>::max()) {
    throw ValueOutOfRange(position, "a port from 1 to 65535");
  }
  state.endpoint.port = static_cast<std::uint16_t>(*port);
}

void store_yes_no(ParserState& state, const std::string& text, const CommandPosition& /*position*/) {
  state.yes = lower(text) == "yes";
}

void add_member(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.group.members.push_back({MemberId(state.text), {}, {}, {}, {}});
}

void set_endpoint(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.member().endpoint = state.endpoint;
}

void set_domain(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.member().failure_domain = FailureDomainId(state.text);
}

void set_slots(ParserState& state, const std::string& /*text*/, const CommandPosition& position) {
  state.member().slots = to_uint32(state.number, position);
}

void set_connections(ParserState& state, const std::string& /*text*/, const CommandPosition& position) {
  state.member().connections = to_uint32(state.number, position);
}

void begin_group(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.group = SetGroup{GroupId(state.text), {}};
}

void end_group(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(state.group);
}

void set_service_group(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.group = GroupId(state.text);
}

void set_freshness(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.freshness = freshness_from_string(lower(state.text));
}

void set_max_age(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.max_age = state.duration;
}

void set_urgency(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.urgency = urgency_from_string(lower(state.text));
}

void set_idempotent(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.idempotent = state.yes;
}

void set_read_only(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.read_only = state.yes;
}

void set_deadline(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service.deadline = state.duration;
}

void set_max_in_flight(ParserState& state, const std::string& /*text*/, const CommandPosition& position) {
  state.service.max_in_flight = to_uint32(state.number, position);
}

void begin_service(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.service = SetService{};
  state.service.name = ServiceName(state.text);
}

void end_service(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(state.service);
}

void drop_group(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(DropGroup{GroupId(state.text)});
}

void drop_service(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(DropService{ServiceName(state.text)});
}

void begin_drain(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.drain = true;
}

void begin_undrain(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.drain = false;
}

void drain_host(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(DrainHost{HostId(state.text), state.drain});
}

void drain_domain(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(DrainDomain{FailureDomainId(state.text), state.drain});
}

void store_drain_group(ParserState& state, const std::string& text, const CommandPosition& /*position*/) {
  state.drain_group = GroupId(text);
}

void drain_upstream(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.add(DrainUpstream{state.drain_group, MemberId(state.text), state.drain});
}

void begin_change(ParserState& state, const std::string& /*text*/, const CommandPosition& position) {
  state.position = position;
}

void show_what(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  const auto names = show_target_names();
  const auto found = std::find(names.begin(), names.end(), lower(state.text));
  state.query = ShowQuery{static_cast<ShowTarget>(found - names.begin()), {}, {}};
}

void show_of(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.query->of = state.text;
}

void where_column(ParserState& state, const std::string& /*text*/, const CommandPosition& position) {
  state.query->where = RowFilter{lower(state.text), {}, position};
}

void where_value(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.query->where->value = state.text;
}

void based_on(ParserState& state, const std::string& /*text*/, const CommandPosition& /*position*/) {
  state.changes.based_on = ConfigurationVersion(state.number);
}

template <>
struct Action<grammar::NameText> : TextAction<store_text> {};
template <>
struct Action<grammar::PlainText> : TextAction<store_text> {};
template <>
struct Action<grammar::QuotedText> : TextAction<store_quoted_text> {};
template <>
struct Action<grammar::NumberText> : TextAction<store_number> {};
template <>
struct Action<grammar::DurationText> : TextAction<store_duration> {};
template <>
struct Action<grammar::IpText> : TextAction<store_ip> {};
template <>
struct Action<grammar::PortText> : TextAction<store_port> {};
template <>
struct Action<grammar::YesNoText> : TextAction<store_yes_no> {};
template <>
struct Action<grammar::FreshnessText> : TextAction<store_text> {};
template <>
struct Action<grammar::UrgencyText> : TextAction<store_text> {};
template <>
struct Action<grammar::ShowText> : TextAction<store_text> {};
template <>
struct Action<grammar::DrainMemberText> : TextAction<store_text> {};

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
struct Action<grammar::DrainGroupText> : TextAction<store_drain_group> {};
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

// Raises errors with the rule's `kExpected` as the message.
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
  ParserState state;
  pegtl::memory_input input(text.data(), text.data() + text.size(), "");
  try {
    pegtl::parse<grammar::CommandRule, Action, Control>(input, state);
  } catch (const pegtl::parse_error& error) {
    const pegtl::position& position = error.positions().front();
    return tl::unexpected(
        CommandError{{position.line, position.column}, std::string(error.message()), "the command does not parse"});
  } catch (const ValueOutOfRange& error) {
    return tl::unexpected(CommandError{error.position(), error.expected(), error.what()});
  }
  if (state.query.has_value()) {
    return *state.query;
  }
  return state.changes;
}

}  // namespace teaselrudder
