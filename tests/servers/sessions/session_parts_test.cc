#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cctype>

#include "servers/failover/evidence_board.h"
#include "servers/sessions/admission_window.h"
#include "servers/sessions/connection_setup.h"
#include "servers/sessions/position_evidence.h"
#include "servers/sessions/read_candidates.h"

namespace teaselrudder {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

class SessionPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionPartsTest);
  CPPUNIT_TEST(window_shrinks_once_per_burst_and_grows_again);
  CPPUNIT_TEST(setup_gives_a_connection_exactly_the_state_of_the_session);
  CPPUNIT_TEST(names_of_prepared_statements_are_single_words_and_never_reused);
  CPPUNIT_TEST(connection_of_unknown_state_is_reset);
  CPPUNIT_TEST(evidence_gives_the_lowest_sufficient_position);
  CPPUNIT_TEST(samples_of_several_hosts_give_nearly_the_lowest_position);
  CPPUNIT_TEST(replica_that_is_known_to_be_behind_gets_no_reads);
  CPPUNIT_TEST(group_needs_report_while_its_primary_answers_or_is_awaited);
  CPPUNIT_TEST(reports_sent_in_several_messages_are_merged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a concurrency window that collapses after one burst of refusals or never grows again.
  void window_shrinks_once_per_burst_and_grows_again() {
    AdmissionWindow window;
    for (int refusal = 0; refusal < 20; ++refusal) {
      window.on_refusal(kStart);
    }
    CPPUNIT_ASSERT(window.width() >= AdmissionWindow::kInitialWidth * AdmissionWindow::kDecreaseFactor);
    for (int round = 1; round < 100; ++round) {
      window.on_refusal(kStart + round * std::chrono::milliseconds(60));
    }
    CPPUNIT_ASSERT(window.admits(0) && !window.admits(1));
    for (int answer = 0; answer < 200; ++answer) {
      window.on_answer();
    }
    CPPUNIT_ASSERT(window.admits(4));
  }

  // Guards against leftover variables or prepared statements of earlier sessions: replaying the commands naively must
  // give the state of a connection that only this session has used.
  void setup_gives_a_connection_exactly_the_state_of_the_session() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::map<std::string, std::string>>& sessions) {
      ConnectionSessionState session_state;
      std::map<std::string, std::string> replayed_values;
      std::map<std::string, std::string> replayed_prepared;
      for (const auto& values : sessions) {
        const PreparedStatement statement{values.size() % 2 == 0 ? StatementAccess::kRead : StatementAccess::kWrite,
                                          "q" + std::to_string(values.size())};
        std::vector<MemberCommand> commands = plan_values(session_state, values);
        if (const auto prepare = plan_prepare(session_state, statement); prepare.has_value()) {
          commands.push_back(*prepare);
        }
        for (const MemberCommand& command : commands) {
          if (command.kind == MemberCommandKind::kReset) {
            replayed_values.clear();
            replayed_prepared.clear();
          } else if (command.kind == MemberCommandKind::kSetValue) {
            replayed_values[command.name] = command.argument;
          } else {
            replayed_prepared[command.name] = command.argument;
          }
        }
        RC_ASSERT(replayed_values == values);
        RC_ASSERT(replayed_prepared.at(session_state.prepared.at(statement)) == statement.shape);
      }
    }));
  }

  // Guards against two statements that share a name on one connection, whatever bytes their texts have and whether the
  // member accepted an earlier one.
  void names_of_prepared_statements_are_single_words_and_never_reused() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::pair<bool, std::string>>& statements) {
      ConnectionSessionState session_state;
      std::map<std::string, PreparedStatement> by_name;
      for (const auto& [writes, shape] : statements) {
        if (shape.size() % 5 == 4) {
          session_state.prepared.clear();
        }
        const PreparedStatement statement{writes ? StatementAccess::kWrite : StatementAccess::kRead, shape};
        const auto prepare = plan_prepare(session_state, statement);
        if (!prepare.has_value()) {
          RC_ASSERT(by_name.at(session_state.prepared.at(statement)) == statement);
          continue;
        }
        RC_ASSERT(by_name.emplace(prepare->name, statement).second);
        RC_ASSERT(std::all_of(prepare->name.begin(), prepare->name.end(),
                              [](unsigned char character) { return std::isalnum(character) != 0; }));
      }
    }));
  }

  // Guards against variables of an earlier session that stay because the member refused the command that removes them.
  void connection_of_unknown_state_is_reset() {
    ConnectionSessionState session_state;
    session_state.values.reset();
    const std::vector<MemberCommand> commands = plan_values(session_state, {{"room", "7"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, commands.size());
    CPPUNIT_ASSERT(commands.front().kind == MemberCommandKind::kReset);
    CPPUNIT_ASSERT(plan_values(session_state, {{"room", "7"}}).empty());
  }

  // Guards against a position that lacks a commit acknowledged before the bound. The result is compared with a scan of
  // all samples.
  void evidence_gives_the_lowest_sufficient_position() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t>& steps, std::uint16_t asked_at) {
      PositionEvidence evidence;
      TimePoint time = kStart;
      std::uint64_t position = 0;
      std::vector<PositionSample> samples;
      for (const std::uint8_t step : steps) {
        time += std::chrono::milliseconds(20 + step);
        position += step;
        evidence.add({Term(1), LogPosition(position)}, time);
        samples.push_back({{Term(1), LogPosition(position)}, time});
      }
      const TimePoint bound = kStart + std::chrono::milliseconds(asked_at);
      std::optional<LogPoint> scanned_position;
      for (const PositionSample& sample : samples) {
        if (!scanned_position.has_value() && sample.requested_at >= bound &&
            sample.requested_at + PositionEvidence::kMaxAge >= time) {
          scanned_position = sample.position;
        }
      }
      RC_ASSERT(evidence.position_for(bound) == scanned_position);
    }));
  }

  // Guards against samples that are lost or misinterpreted because they arrive out of order from several hosts. The
  // position must be sufficient according to the samples and close to the lowest sufficient one.
  void samples_of_several_hosts_give_nearly_the_lowest_position() {
    CPPUNIT_ASSERT(rc::check([] {
      PositionEvidence evidence;
      std::vector<PositionSample> all;
      for (const int step : *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 2000))) {
        const TimePoint time = kStart + std::chrono::milliseconds(step);
        const auto progress_until_answer = static_cast<std::uint64_t>(*rc::gen::inRange(0, 300));
        all.push_back({{Term(1), LogPosition(static_cast<std::uint64_t>(step) + progress_until_answer)}, time});
        evidence.add(all.back().position, time);
      }
      const TimePoint bound = kStart + std::chrono::milliseconds(*rc::gen::inRange(0, 2200));
      const auto lowest = [&all](TimePoint from) {
        std::optional<LogPoint> position;
        for (const PositionSample& sample : all) {
          if (sample.requested_at >= from && (!position.has_value() || sample.position < *position)) {
            position = sample.position;
          }
        }
        return position;
      };
      const std::optional<LogPoint> found = evidence.position_for(bound);
      RC_ASSERT(!found.has_value() || *found >= *lowest(bound));
      const std::optional<LogPoint> expected = lowest(bound + PositionEvidence::kMinSampleInterval);
      RC_ASSERT(!expected.has_value() || (found.has_value() && *found <= *expected));
    }));
  }

  // Guards against reads that are sent repeatedly to a replica that has just reported that it is behind.
  void replica_that_is_known_to_be_behind_gets_no_reads() {
    UpstreamGroup group(GroupId("ledger"));
    for (const char* id : {"primary", "replica"}) {
      MemberEntry entry;
      entry.member = MemberId(id);
      entry.is_primary = std::string(id) == "primary";
      group.on_member_seen(entry, kStart);
    }
    group.update_primary(MemberId("primary"), Term(1), kStart);
    UpstreamMember& replica = *group.find(MemberId("replica"));
    replica.applied = {Term(1), LogPosition(10)};
    replica.applied_at = kStart;
    const std::set<MemberId> avoided;
    const FailureDomainId domain("toledo");
    const auto idle = [](const UpstreamMember&) { return std::size_t{0}; };
    const auto candidates = [&](std::uint64_t position, Duration later) {
      const ReadNeeds needs{LogPoint{Term(1), LogPosition(position)}, false, avoided, domain};
      return rank_read_candidates(group, needs, idle, kStart + later).size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, candidates(10, Duration(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, candidates(11, Duration(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, candidates(11, std::chrono::milliseconds(150)));
  }

  // Guards against reports that grow with the number of groups (100 hosts with 300 groups sent 2.2 GB between zones in
  // one day), and against a primary whose missing answers or replacement are not reported.
  void group_needs_report_while_its_primary_answers_or_is_awaited() {
    UpstreamGroup group(GroupId("ledger"));
    for (const char* id : {"first", "second"}) {
      MemberEntry entry;
      entry.member = MemberId(id);
      entry.is_primary = entry.member == MemberId("first");
      group.on_member_seen(entry, kStart);
    }
    CPPUNIT_ASSERT(!group.needs_report(kStart));
    const TimePoint requested_at = kStart + std::chrono::seconds(10);
    group.on_attempt(MemberId("first"), requested_at);
    CPPUNIT_ASSERT(group.needs_report(requested_at + std::chrono::seconds(60)));
    group.on_answer(MemberId("first"), false, requested_at);
    CPPUNIT_ASSERT(group.needs_report(requested_at + UpstreamGroup::kReportRelevance - Duration(1)));
    CPPUNIT_ASSERT(!group.needs_report(requested_at + UpstreamGroup::kReportRelevance));
    const TimePoint replaced = requested_at + std::chrono::seconds(60);
    group.update_primary(MemberId("second"), Term(2), replaced);
    CPPUNIT_ASSERT(group.needs_report(replaced));
    CPPUNIT_ASSERT(!group.needs_report(replaced + UpstreamGroup::kReportRelevance));
  }

  static std::size_t hosts_with_fresh_evidence(const EvidenceBoard& board, const char* group, TimePoint now) {
    std::size_t hosts = 0;
    board.visit_fresh_evidence(GroupId(group), now, [&hosts](const PrimaryEvidence&, Duration) { ++hosts; });
    return hosts;
  }

  // Guards against evidence that is lost because a host reports its groups in several messages.
  void reports_sent_in_several_messages_are_merged() {
    EvidenceBoard board;
    EvidenceReport report;
    report.sender = HostId("host1");
    report.sent_at_us = 1000;
    for (const char* group : {"first", "second"}) {
      PrimaryEvidence evidence;
      evidence.group = GroupId(group);
      report.groups = {evidence};
      board.on_report(report, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts_with_fresh_evidence(board, "first", kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts_with_fresh_evidence(board, "second", kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board.hosts_with_fresh_report(kStart));
    // Evidence that is no longer reported expires.
    report.sent_at_us = 2000;
    report.groups.clear();
    board.on_report(report, kStart + 2 * EvidenceBoard::kFreshFor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         hosts_with_fresh_evidence(board, "first", kStart + 2 * EvidenceBoard::kFreshFor));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionPartsTest);

}  // namespace

}  // namespace teaselrudder
