#include "drivers/rpc/evidence_socket.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <string>

#include "servers/session_host/session_host.h"

namespace teaselrudder {

namespace {

class EvidenceSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvidenceSocketTest);
  CPPUNIT_TEST(round_trips_reports);
  CPPUNIT_TEST(largest_report_fits_into_a_datagram);
  CPPUNIT_TEST(round_trips_quota_messages);
  CPPUNIT_TEST(largest_quota_message_fits_into_a_datagram);
  CPPUNIT_TEST(decodes_arbitrary_bytes_without_crashing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are lost or swapped in encoding, in particular an absent age that becomes a number.
  void round_trips_reports() {
    EvidenceReport report;
    report.sender = HostId("front-1");
    report.sent_at_us = 123456789;
    report.duty_token = 17;
    report.newest_duty_token = 18;
    report.store_current = true;
    PrimaryEvidence group;
    group.group = GroupId("ledger");
    group.primary = MemberId("i-1");
    group.term = Term(4);
    group.last_answer_age = std::chrono::milliseconds(3);
    group.commit_stalled_for = std::chrono::milliseconds(900);
    group.position = LogPoint{Term(4), LogPosition(99)};
    group.position_age = std::chrono::milliseconds(12);
    group.lease_remaining = std::chrono::milliseconds(700);
    group.lease_token = 16;
    group.requests_lease = true;
    group.lacks_connection = true;
    group.replaced_term = Term(3);
    group.revoked_term = Term(2);
    report.groups = {group, PrimaryEvidence{}};
    const auto read = decode_evidence(encode_evidence(report));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->sender == report.sender && read->sent_at_us == report.sent_at_us);
    CPPUNIT_ASSERT(read->duty_token == 17 && read->newest_duty_token == 18 && read->store_current);
    CPPUNIT_ASSERT(read->groups[0].lease_remaining == group.lease_remaining && read->groups[0].lease_token == 16);
    CPPUNIT_ASSERT(read->groups[0].requests_lease && !read->groups[0].doubts_primary);
    CPPUNIT_ASSERT(read->groups[0].lacks_connection);
    CPPUNIT_ASSERT(read->groups[0].replaced_term == Term(3) && read->groups[0].revoked_term == Term(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->groups.size());
    CPPUNIT_ASSERT(read->groups[0].position == group.position && read->groups[0].position_age == group.position_age);
    CPPUNIT_ASSERT(read->groups[0].last_answer_age == group.last_answer_age && !read->groups[0].commit_age.has_value());
    CPPUNIT_ASSERT(!read->groups[1].last_answer_age.has_value() && !read->groups[1].position.has_value());
  }

  // Guards against reports that are not sent because they exceed a datagram. The test assumes names of 40 characters.
  void largest_report_fits_into_a_datagram() {
    EvidenceReport report;
    report.sender = HostId(std::string(40, 'h'));
    report.sent_at_us = report.echo_us = INT64_MAX;
    report.duty_token = report.newest_duty_token = UINT64_MAX;
    PrimaryEvidence group;
    group.group = GroupId(std::string(40, 'g'));
    group.primary = MemberId(std::string(40, 'm'));
    group.term = group.replaced_term = group.revoked_term = Term(UINT64_MAX);
    group.acknowledged = {Term(UINT64_MAX), LogPosition(UINT64_MAX)};
    group.last_answer_age = group.commit_age = Duration(INT64_MAX / 2);
    group.lease_remaining = Duration(INT64_MAX / 2);
    group.lease_token = UINT64_MAX;
    group.requests_lease = group.doubts_primary = group.lacks_connection = true;
    group.unanswered_for = group.commit_stalled_for = group.position_age = Duration(INT64_MAX / 2);
    group.position = LogPoint{Term(UINT64_MAX), LogPosition(UINT64_MAX)};
    report.groups.assign(SessionHost::kGroupsPerReport, group);
    CPPUNIT_ASSERT(encode_evidence(report).size() <= kMaxEvidenceBytes);
  }

  // Guards against tokens of one account that arrive as those of another, and against a quota message that is taken for
  // a report, which would count as a sign of life of the group's primaries.
  void round_trips_quota_messages() {
    QuotaMessage message;
    message.sender = HostId("front-1");
    message.is_answer = true;
    message.pledged_shards = 5;
    message.credited_shards = 4;
    message.tokens = {{AccountId("acme"), 3, 8}, {AccountId("birch"), 0, 9}};
    const std::string bytes = encode_quota_message(message);
    const auto read = decode_quota_message(bytes);
    CPPUNIT_ASSERT(read.has_value() && read->sender == message.sender && read->tokens == message.tokens);
    CPPUNIT_ASSERT(read->is_answer && read->pledged_shards == 5 && read->credited_shards == 4);
    CPPUNIT_ASSERT(!decode_evidence(bytes).has_value());
    EvidenceReport report;
    report.sender = HostId("front-1");
    CPPUNIT_ASSERT(!decode_quota_message(encode_evidence(report)).has_value());
  }

  // Guards against requests that are not sent because they exceed a datagram. The test assumes names of 64 characters.
  void largest_quota_message_fits_into_a_datagram() {
    QuotaMessage message;
    message.sender = HostId(std::string(64, 'h'));
    message.pledged_shards = message.credited_shards = UINT32_MAX;
    message.tokens.assign(kMaxQuotaEntries, {AccountId(std::string(64, 'a')), UINT32_MAX, UINT64_MAX});
    CPPUNIT_ASSERT(encode_quota_message(message).size() <= kMaxEvidenceBytes);
  }

  // Guards against a crash on a datagram that is not a report.
  void decodes_arbitrary_bytes_without_crashing() {
    CPPUNIT_ASSERT(!decode_evidence("").has_value());
    CPPUNIT_ASSERT(rc::check([](const std::string& bytes) {
      static_cast<void>(decode_evidence(bytes));
      static_cast<void>(decode_quota_message(bytes));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvidenceSocketTest);

}  // namespace

}  // namespace teaselrudder
