#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "servers/operator/command_parser.h"
#include "servers/operator/configuration_edit.h"

namespace teaselrudder {

namespace {

class CommandLanguageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLanguageTest);
  CPPUNIT_TEST(parses_all_kinds_of_statements);
  CPPUNIT_TEST(errors_have_position_and_expected_input);
  CPPUNIT_TEST(changes_are_applied_atomically);
  CPPUNIT_TEST(arbitrary_input_never_crashes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against options that are ignored or stored in the wrong field.
  void parses_all_kinds_of_statements() {
    const ChangeCommand command = parse_changes(
        "based on version 7 -- a comment\n"
        "SET GROUP g MEMBER m1 AT 10.0.0.1:5432 IN d1 SLOTS 4 CONNECTIONS 30 MEMBER m2 AT [::1]:5433 IN d2;\n"
        "SET SERVICE s GROUP g FRESHNESS max_age MAX_AGE 500ms URGENCY urgent IDEMPOTENT yes READ_ONLY no\n"
        "  DEADLINE 10s MAX_IN_FLIGHT 5; UNDRAIN UPSTREAM g/m1; DRAIN HOST h; DROP GROUP x;");
    CPPUNIT_ASSERT(command.based_on == ConfigurationVersion(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, command.changes.size());
    const auto& group = std::get<SetGroup>(command.changes[0].statement);
    const MemberClause first{MemberId("m1"), Endpoint{"10.0.0.1", 5432}, FailureDomainId("d1"), 4, 30};
    const MemberClause second{MemberId("m2"), Endpoint{"::1", 5433}, FailureDomainId("d2"), {}, {}};
    CPPUNIT_ASSERT((group == SetGroup{GroupId("g"), {first, second}}));
    const SetService service{ServiceName("s"),
                             GroupId("g"),
                             Freshness::kMaxAge,
                             std::chrono::milliseconds(500),
                             Urgency::kUrgent,
                             true,
                             false,
                             std::chrono::seconds(10),
                             5};
    CPPUNIT_ASSERT(std::get<SetService>(command.changes[1].statement) == service);
    CPPUNIT_ASSERT(
        (std::get<DrainUpstream>(command.changes[2].statement) == DrainUpstream{GroupId("g"), MemberId("m1"), false}));
    CPPUNIT_ASSERT((std::get<DrainHost>(command.changes[3].statement) == DrainHost{HostId("h"), true}));
    const auto query = parse_command("SHOW DECISIONS OF g WHERE event = 'it''s'");
    CPPUNIT_ASSERT(std::get<ShowQuery>(*query).target == ShowTarget::kDecisions);
    CPPUNIT_ASSERT_EQUAL(std::string("g"), *std::get<ShowQuery>(*query).of);
    CPPUNIT_ASSERT_EQUAL(std::string("it's"), std::get<ShowQuery>(*query).where->value);
  }

  // Guards against errors that do not tell the operator where the problem is and what is allowed there.
  void errors_have_position_and_expected_input() {
    expect_error("", 1, 1, "SHOW, SET");
    expect_error("SET GROUPS g", 1, 5, "GROUP or SERVICE");
    expect_error("DROP GROUP g;\n  DRAIN HOST ;", 2, 14, "a name");
    expect_error("SET GROUP g MEMBER m AT 300.0.0.1:5", 1, 25, "an IP address");
    expect_error("SET GROUP g MEMBER m AT 10.0.0.1:70000", 1, 34, "a port");
    expect_error("SET SERVICE s DEADLINE 10", 1, 24, "a duration");
    expect_error("SET SERVICE s MAX_IN_FLIGHT 99999999999", 1, 29, "a number up to");
    expect_error("SHOW HOSTS; SHOW GROUPS", 1, 13, "the end of the command");
    expect_error("DROP GROUP g DROP", 1, 14, "';'");
  }

  // Guards against a partly applied change, and against a change that replaces a member, which adds one and removes
  // one.
  void changes_are_applied_atomically() {
    const Configuration base =
        edit(Configuration(), group_text({"m1", "m2", "m3"}) + "; SET SERVICE s GROUP g").value();
    CPPUNIT_ASSERT(!edit(base, "DROP GROUP g").has_value());
    CPPUNIT_ASSERT(edit(base, "DROP GROUP g; DROP SERVICE s").has_value());
    CPPUNIT_ASSERT(!edit(base, group_text({"m1", "m2", "m4"})).has_value());
    CPPUNIT_ASSERT(edit(base, group_text({"m1", "m2", "m3", "m4"})).has_value());
    CPPUNIT_ASSERT(!edit(base, "SET SERVICE t DEADLINE 1s").has_value());
    const auto differences = find_differences(base, edit(base, "SET SERVICE s DEADLINE 1s").value());
    const std::vector<ConfigurationDifference> expected = {{"service s", "deadline_ms", "10000", "1000"}};
    CPPUNIT_ASSERT(differences == expected);
  }

  // Guards against a crash or an out-of-bounds read on malformed input.
  void arbitrary_input_never_crashes() {
    const bool any_text = rc::check("any bytes", [](const std::string& text) { parse_command(text); });
    const auto words = rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "SET", "GROUP", "SERVICE", "MEMBER", "AT", "IN", "1.2.3.4:5", "[::", "SLOTS", "99999999999999999999999", ";",
        "--", "\n", "'", "g/m", "DRAIN", "UPSTREAM", "SHOW", "HOSTS", "WHERE", "=", "BASED", "ON", "VERSION", "5ms",
        "DEADLINE", "99999999999h", "x"));
    const bool any_words = rc::check("any words", [&] {
      std::string text;
      for (const std::string& word : *words) {
        text += word + ' ';
      }
      const auto command = parse_command(text);
      RC_ASSERT(command.has_value() || !command.error().expected.empty());
    });
    CPPUNIT_ASSERT(any_text && any_words);
  }

 private:
  static ChangeCommand parse_changes(const std::string& text) {
    const auto command = parse_command(text);
    CPPUNIT_ASSERT_MESSAGE(command.has_value() ? "" : command.error().expected, command.has_value());
    return std::get<ChangeCommand>(*command);
  }

  static tl::expected<Configuration, CommandError> edit(const Configuration& base, const std::string& text) {
    return edit_configuration(base, parse_changes(text).changes);
  }

  static std::string group_text(const std::vector<std::string>& members) {
    std::string text = "SET GROUP g";
    for (const std::string& member : members) {
      text += " MEMBER " + member + " AT 10.0.0." + member.substr(1) + ":5432 IN d";
    }
    return text;
  }

  static void expect_error(const std::string& text, std::size_t line, std::size_t column, const std::string& expected) {
    const auto command = parse_command(text);
    CPPUNIT_ASSERT_MESSAGE(text, !command.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line, command.error().position.line);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, column, command.error().position.column);
    CPPUNIT_ASSERT_MESSAGE(command.error().expected, command.error().expected.starts_with(expected) ||
                                                         command.error().expected.find(expected) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLanguageTest);

}  // namespace

}  // namespace teaselrudder
