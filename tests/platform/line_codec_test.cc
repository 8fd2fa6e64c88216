#include "platform/line_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace teaselrudder::platform {

namespace {

class LineCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineCodecTest);
  CPPUNIT_TEST(statements_keep_their_text);
  CPPUNIT_TEST(bad_lines_are_errors);
  CPPUNIT_TEST(arbitrary_lines_never_crash);
  CPPUNIT_TEST(replies_are_joined_from_lines);
  CPPUNIT_TEST(cut_answers_are_errors);
  CPPUNIT_TEST(promises_are_written_with_when_to_come_back);
  CPPUNIT_TEST(status_rows_are_read);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a member that gets another text than the caller sent.
  void statements_keep_their_text() {
    const auto write = decode_statement("QUERY 5c0e WRITE 1a4 a  b c");
    CPPUNIT_ASSERT(write.has_value() && write->kind == StatementKind::kWrite);
    MemberCommand command;
    command.kind = MemberCommandKind::kWrite;
    command.id = write->id;
    command.argument = write->argument;
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e WRITE 1a4 a  b c\r\n"), encode_command(command));
    command.kind = MemberCommandKind::kRead;
    command.argument = "1a4";
    command.required = LogPoint{Term(3), LogPosition(1207)};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"), encode_command(command));
    const auto prepared = decode_statement("QUERY 5c0e PREPARE s1 WRITE q2c");
    CPPUNIT_ASSERT(prepared.has_value() && prepared->access == StatementAccess::kWrite);
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"), prepared->argument);
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - BEGIN READ\r\n"),
                         encode_command(make_internal_command(MemberCommandKind::kBeginReadOnly)));
  }

  // Guards against a bad line that is taken for a statement, and against a caller that uses the id of this system.
  void bad_lines_are_errors() {
    for (const char* line : {"", "QUERY", "QUERY a", "QUERY a READ", "QUERY a BEGIN WRITE", "QUERY a COMMIT x",
                             "QUERY a PREPARE s ANY q", "QUERY a EXECUTE s", "QUERY - READ 1", "READ 1"}) {
      CPPUNIT_ASSERT_MESSAGE(line, !decode_statement(line).has_value());
    }
    CPPUNIT_ASSERT(!decode_startup("STARTUP").has_value());
    CPPUNIT_ASSERT(!decode_startup("QUERY a READ 1").has_value());
    CPPUNIT_ASSERT(decode_startup("STARTUP lepu270 u3f1") == DatabaseName("lepu270"));
  }

  // Guards against bytes from outside that end the process.
  void arbitrary_lines_never_crash() {
    CPPUNIT_ASSERT(rc::check([](const std::string& line) {
      static_cast<void>(decode_statement(line));
      static_cast<void>(decode_startup(line));
      MemberReplyReader reader;
      static_cast<void>(reader.take(line));
      StatementReply reply;
      reply.rows = {line};
      static_cast<void>(read_member_report(reply));
    }));
  }

  // Guards against rows, signature or state of one answer that end up in another, and against rows that are dropped.
  void replies_are_joined_from_lines() {
    MemberReplyReader reader;
    CPPUNIT_ASSERT(!reader.take("ROW a b").value().has_value());
    CPPUNIT_ASSERT(!reader.take("ROW c").value().has_value());
    CPPUNIT_ASSERT(!reader.take("COMPLETE 7.1f3").value().has_value());
    const auto first = reader.take("READY T 3.1209").value();
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a b"), first->rows.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), first->rows.at(1));
    CPPUNIT_ASSERT(first->state == TransactionState::kOpen);
    CPPUNIT_ASSERT((first->position == LogPoint{Term(3), LogPosition(1209)}));
    CPPUNIT_ASSERT(!reader.take("ERROR READONLY i-7f").value().has_value());
    const auto second = reader.take("READY E -").value();
    CPPUNIT_ASSERT(second->error == StatementErrorCode::kReadOnly && second->rows.empty());
    CPPUNIT_ASSERT(!second->position.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ROW a b\r\nROW c\r\nCOMPLETE 7.1f3\r\nREADY T 3.1209\r\n"), encode_reply(*first));
  }

  // Guards against an answer without its end that is taken for a whole one.
  void cut_answers_are_errors() {
    MemberReplyReader reader;
    CPPUNIT_ASSERT(!reader.take("ROW a").value().has_value());
    CPPUNIT_ASSERT(!reader.take("READY I 1.2").has_value());
    CPPUNIT_ASSERT(!MemberReplyReader().take("READY X 1.2").has_value());
    CPPUNIT_ASSERT(!MemberReplyReader().take("HELLO").has_value());
  }

  // Guards against a refusal that does not say when to come back, and against line ends inside a text.
  void promises_are_written_with_when_to_come_back() {
    StatementReply reply;
    reply.error = StatementErrorCode::kBusy;
    reply.error_text = "no\r\nslot";
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR BUSY no  slot; not run, retry after 50 ms\r\nREADY I -\r\n"),
                         encode_reply(reply));
    reply.error = StatementErrorCode::kInDoubt;
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR INDOUBT no  slot\r\nREADY I -\r\n"), encode_reply(reply));
  }

  // Guards against a position or term that is read from the wrong field.
  void status_rows_are_read() {
    StatementReply reply;
    reply.rows = {"replica 3 3.1209 5 12 2 17"};
    const auto report = read_member_report(reply);
    CPPUNIT_ASSERT(report.has_value() && !report->is_primary);
    CPPUNIT_ASSERT(report->term == Term(3) && report->stopped_below == Term(5));
    CPPUNIT_ASSERT((report->received == LogPoint{Term(3), LogPosition(1209)}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, report->connections);
    reply.rows = {"replica x 3.1209"};
    CPPUNIT_ASSERT(!read_member_report(reply).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineCodecTest);

}  // namespace

}  // namespace teaselrudder::platform
