#include "servers/group/database_group.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "misc/measure/group_harness.h"
#include "servers/group/read_router.h"

namespace teaselrudder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MemberId kM0("m0");
const MemberId kM1("m1");
const MemberId kM2("m2");

MemberStatus status(std::uint64_t term, std::uint64_t position, bool is_primary = false) {
  MemberStatus status;
  status.raised_term = Term(term);
  status.log_term = Term(term);
  status.received = LogPosition(position);
  status.replayed = LogPosition(position);
  status.is_primary = is_primary;
  status.history = TermHistory::parse("1:0").value();
  for (std::uint64_t later = 2; later <= term; ++later) {
    status.history.append(Term(later), LogPosition(50));
  }
  return status;
}

LogPoint point(std::uint64_t term, std::uint64_t position) { return {Term(term), LogPosition(position)}; }

ReadChoice replica_choice(const MemberId& member) { return {member, false}; }
ReadChoice primary_choice(const MemberId& member) { return {member, true}; }

// Drives one DatabaseGroup without a network: the test plays the members and other owners. Sorts the group's actions.
struct GroupDriver {
  explicit GroupDriver(std::size_t members = 3)
      : group(model::make_group(members), HostId("h0"), GroupTimings(), model::load_group_chart(), now) {
    tick();
  }

  void tick(Duration passed = Duration(0), double random = 0) {
    now += passed;
    group.on_tick(random, now);
    collect();
  }

  // Ticks at every wakeup for `duration` without answering any probe.
  void tick_for(Duration duration) {
    const TimePoint end = now + duration;
    while (group.next_wakeup() <= end) {
      tick(std::max(Duration(0), group.next_wakeup() - now));
    }
    tick(end - now);
  }

  void collect() {
    for (const GroupAction& action : group.take_actions()) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        probes[probe->member] = *probe;
        ++probe_counts[probe->member];
      } else if (const auto* done = std::get_if<ConfirmationDone>(&action)) {
        results_by_id[done->confirmation] = done->confirmed;
      } else {
        other_actions.push_back(action);
      }
    }
  }

  // Answers the last probe of `member`.
  void report(const MemberId& member, const MemberStatus& status) {
    group.on_probe_report(member, probes.at(member).probe, status, now);
    collect();
  }

  // Makes m0 the primary in term 1, with all three members at `position`.
  void establish_primary(std::uint64_t position) {
    report(kM0, status(1, position, true));
    report(kM1, status(1, position));
    report(kM2, status(1, position));
    other_actions.clear();
  }

  ConfirmationId confirm(const LogPoint& confirmed, Duration deadline = seconds(1)) {
    const ConfirmationId id = group.confirm(confirmed, now + deadline, now);
    collect();
    return id;
  }

  bool is_open(ConfirmationId id) const { return !results_by_id.contains(id); }

  template <typename Action>
  std::size_t count() const {
    return static_cast<std::size_t>(
        std::count_if(other_actions.begin(), other_actions.end(),
                      [](const GroupAction& action) { return std::holds_alternative<Action>(action); }));
  }

  TimePoint now{std::chrono::hours(1)};
  DatabaseGroup group;
  std::map<MemberId, SendProbe> probes;
  std::map<MemberId, std::size_t> probe_counts;
  std::map<ConfirmationId, bool> results_by_id;
  std::vector<GroupAction> other_actions;
};

class DatabaseGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseGroupTest);
  CPPUNIT_TEST(probe_that_times_out_asks_for_a_new_connection);
  CPPUNIT_TEST(unreachable_member_is_not_flooded_with_connection_attempts);
  CPPUNIT_TEST(late_and_duplicated_probe_answers_are_ignored);
  CPPUNIT_TEST(older_report_does_not_replace_a_newer_one);
  CPPUNIT_TEST(newest_term_decides_between_two_primaries);
  CPPUNIT_TEST(report_requested_before_confirm_does_not_count);
  CPPUNIT_TEST(confirmation_needs_term_and_position_on_a_majority);
  CPPUNIT_TEST(report_that_came_with_the_write_counts_for_the_primary);
  CPPUNIT_TEST(one_probe_round_serves_all_confirmations);
  CPPUNIT_TEST(lagging_members_are_probed_with_growing_delay);
  CPPUNIT_TEST(superseded_and_expired_confirmations_fail);
  CPPUNIT_TEST(number_of_open_confirmations_is_limited);
  CPPUNIT_TEST(late_suspicion_replies_start_no_attempt);
  CPPUNIT_TEST(outdated_raise_answers_count_for_no_attempt);
  CPPUNIT_TEST(follow_orders_are_rate_limited);
  CPPUNIT_TEST(sample_needs_reports_requested_after_it);
  CPPUNIT_TEST(number_of_samples_is_limited);
  CPPUNIT_TEST(reads_prefer_the_replica_with_the_shortest_wait);
  CPPUNIT_TEST(reads_wait_for_lagging_replicas_only_if_allowed);
  CPPUNIT_TEST(uncertain_session_reads_at_a_primary_of_its_term);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a member that is suspected because its old connection is broken.
  void probe_that_times_out_asks_for_a_new_connection() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.tick_for(milliseconds(300));
    CPPUNIT_ASSERT(!driver.probes.at(kM0).new_connection);
    driver.tick_for(milliseconds(400));
    CPPUNIT_ASSERT(driver.probes.at(kM0).new_connection);
    driver.tick_for(milliseconds(100));
    CPPUNIT_ASSERT(driver.group.state() == GroupState::kLed);
    driver.tick_for(milliseconds(400));
    CPPUNIT_ASSERT(driver.group.state() != GroupState::kLed);
    CPPUNIT_ASSERT(!driver.group.majority_reachable(driver.now));
  }

  // Guards against confirmations that cause a flood of connection attempts to an unreachable member.
  void unreachable_member_is_not_flooded_with_connection_attempts() {
    GroupDriver driver;
    driver.establish_primary(10);
    for (int round = 0; round < 100; ++round) {
      driver.confirm(point(1, 99));
      driver.group.on_probe_failed(kM2, driver.probes.at(kM2).probe, driver.now);
      driver.tick(milliseconds(10));
    }
    // Two attempts at first, one of them on a new connection, then one per probe interval.
    CPPUNIT_ASSERT(driver.probe_counts.at(kM2) <= 8);
  }

  // Guards against an answer to an earlier probe that is taken for the answer to the current one.
  void late_and_duplicated_probe_answers_are_ignored() {
    GroupDriver driver;
    const ProbeId old = driver.probes.at(kM0).probe;
    driver.tick_for(milliseconds(450));
    driver.group.on_probe_report(kM0, old, status(1, 10, true), driver.now);
    CPPUNIT_ASSERT(driver.group.find_member(kM0) == nullptr);
    driver.report(kM0, status(1, 20, true));
    driver.report(kM0, status(1, 30, true));
    CPPUNIT_ASSERT(driver.group.find_member(kM0)->status.received == LogPosition(20));
    driver.group.on_probe_report(kM1, driver.probes.at(kM2).probe, status(1, 10), driver.now);
    CPPUNIT_ASSERT(driver.group.find_member(kM1) == nullptr);
  }

  // Guards against reports that arrive out of order and make a member's status go back.
  void older_report_does_not_replace_a_newer_one() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.group.on_operation_report(kM1, status(1, 5), driver.now - milliseconds(1), driver.now);
    CPPUNIT_ASSERT(driver.group.find_member(kM1)->status.received == LogPosition(10));
  }

  // Guards against accepting the primary of an earlier term while too few members report to decide by majority.
  void newest_term_decides_between_two_primaries() {
    GroupDriver driver(5);
    driver.report(kM1, status(2, 60, true));
    driver.report(kM0, status(1, 70, true));
    CPPUNIT_ASSERT(driver.group.primary()->member == kM1);
    CPPUNIT_ASSERT(driver.group.primary()->term == Term(2));
  }

  // Guards against a fresh read that is confirmed by reports requested before the read.
  void report_requested_before_confirm_does_not_count() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.tick(milliseconds(250));
    const ConfirmationId id = driver.confirm(point(1, 10));
    driver.report(kM0, status(1, 10, true));
    driver.report(kM1, status(1, 10));
    driver.group.on_operation_report(kM2, status(1, 10), driver.now - milliseconds(1), driver.now);
    driver.collect();
    CPPUNIT_ASSERT(driver.is_open(id));
    // These answer the probes that were sent after confirm().
    driver.report(kM0, status(1, 10, true));
    CPPUNIT_ASSERT(driver.is_open(id));
    driver.report(kM1, status(1, 10));
    CPPUNIT_ASSERT(driver.results_by_id.at(id));
  }

  // Guards against acknowledging a write that a later primary may not have.
  void confirmation_needs_term_and_position_on_a_majority() {
    GroupDriver driver;
    driver.establish_primary(10);
    const ConfirmationId id = driver.confirm(point(1, 20));
    driver.report(kM0, status(1, 20, true));
    driver.report(kM1, status(1, 19));
    MemberStatus older_log = status(1, 30);
    older_log.log_term = Term(0);
    driver.report(kM2, older_log);
    CPPUNIT_ASSERT(driver.is_open(id));
    driver.tick(milliseconds(1));
    driver.report(kM2, status(1, 20));
    CPPUNIT_ASSERT(driver.results_by_id.at(id));
  }

  // Guards against an unnecessary round trip to the primary, and against counting an earlier report as that of the
  // write.
  void report_that_came_with_the_write_counts_for_the_primary() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.group.on_operation_report(kM0, status(1, 20, true), driver.now, driver.now);
    const ConfirmationId id = driver.confirm(point(1, 20));
    driver.report(kM1, status(1, 20));
    CPPUNIT_ASSERT(driver.results_by_id.at(id));
    driver.tick(milliseconds(1));
    const ConfirmationId later = driver.confirm(point(1, 20));
    driver.report(kM1, status(1, 20));
    CPPUNIT_ASSERT(driver.is_open(later));
  }

  // Guards against a number of probes that grows with the number of concurrent writes.
  void one_probe_round_serves_all_confirmations() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.probe_counts.clear();
    std::vector<ConfirmationId> ids;
    for (std::uint64_t index = 0; index < 100; ++index) {
      ids.push_back(driver.confirm(point(1, 10 + index)));
    }
    driver.report(kM0, status(1, 200, true));
    driver.report(kM1, status(1, 200));
    // The first probe was sent before the other confirmations began, so they need a second one.
    driver.report(kM0, status(1, 200, true));
    driver.report(kM1, status(1, 200));
    for (const ConfirmationId id : ids) {
      CPPUNIT_ASSERT(driver.results_by_id.at(id));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.probe_counts.at(kM0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.probe_counts.at(kM1));
  }

  // Guards against probing a lagging replica in a busy loop.
  void lagging_members_are_probed_with_growing_delay() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.confirm(point(1, 20));
    driver.probe_counts.clear();
    for (int passed = 0; passed < 200; ++passed) {
      driver.report(kM1, status(1, 10));
      driver.tick(milliseconds(1));
    }
    // The delays are 1, 2, 4, 8, 16 and then 25 ms.
    CPPUNIT_ASSERT_EQUAL(std::size_t(11), driver.probe_counts.at(kM1));
  }

  // Guards against requests that wait for a confirmation which can no longer succeed.
  void superseded_and_expired_confirmations_fail() {
    GroupDriver driver;
    driver.establish_primary(10);
    const ConfirmationId expired = driver.confirm(point(1, 20), milliseconds(30));
    driver.tick_for(milliseconds(30));
    CPPUNIT_ASSERT(!driver.results_by_id.at(expired));
    const ConfirmationId superseded = driver.confirm(point(1, 20));
    driver.report(kM1, status(2, 50));
    CPPUNIT_ASSERT(driver.is_open(superseded));
    driver.report(kM2, status(3, 50));
    CPPUNIT_ASSERT(!driver.results_by_id.at(superseded));
    // A primary of a later term proves that a majority granted that term.
    driver.tick(milliseconds(250));
    driver.report(kM1, status(4, 60, true));
    const ConfirmationId of_earlier_term = driver.confirm(point(3, 20));
    CPPUNIT_ASSERT(!driver.results_by_id.at(of_earlier_term));
    const ConfirmationId cancelled = driver.confirm(point(4, 60));
    driver.group.cancel_confirmation(cancelled);
    driver.tick_for(seconds(2));
    CPPUNIT_ASSERT(driver.is_open(cancelled));
  }

  // Guards against unbounded memory while no majority answers.
  void number_of_open_confirmations_is_limited() {
    GroupDriver driver;
    driver.establish_primary(10);
    const std::size_t bound = GroupTimings().max_open_confirmations;
    for (std::size_t index = 0; index < bound; ++index) {
      CPPUNIT_ASSERT(driver.is_open(driver.confirm(point(1, 20))));
    }
    CPPUNIT_ASSERT(!driver.results_by_id.at(driver.confirm(point(1, 20))));
  }

  // Guards against a failover caused by suspicion replies that arrive after the primary reported again.
  void late_suspicion_replies_start_no_attempt() {
    GroupDriver driver;
    driver.group.update_owners(0, 3, driver.now);
    driver.establish_primary(10);
    driver.tick_for(milliseconds(1150));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.count<AskSuspicion>());
    driver.group.on_suspicion_replies(Term(1), 2, 0, Term(1), driver.now);
    CPPUNIT_ASSERT(driver.group.state() == GroupState::kAsking);
    CPPUNIT_ASSERT(driver.group.primary().has_value());
    driver.report(kM0, status(1, 10, true));
    driver.group.on_suspicion_replies(Term(1), 2, 2, Term(1), driver.now);
    CPPUNIT_ASSERT(driver.group.state() == GroupState::kLed);
  }

  // Guards against a promotion that counts grants of an earlier term or two grants of one member.
  void outdated_raise_answers_count_for_no_attempt() {
    GroupDriver driver;
    driver.establish_primary(10);
    driver.group.on_probe_failed(kM0, driver.probes.at(kM0).probe, driver.now);
    for (int passed = 0; passed < 40 && driver.count<SendRaiseTerm>() == 0; ++passed) {
      driver.tick(milliseconds(50));
      driver.group.on_probe_failed(kM0, driver.probes.at(kM0).probe, driver.now);
      driver.report(kM1, status(1, 10));
      driver.report(kM2, status(1, 10));
    }
    CPPUNIT_ASSERT(driver.group.state() == GroupState::kRaising);
    const auto grant = [](std::uint64_t term) {
      MemberStatus granted = status(1, 10);
      granted.raised_term = Term(term);
      granted.candidate = HostId("h0");
      return GrantResult{true, granted};
    };
    driver.group.on_raise_result(kM1, Term(1), grant(1), driver.now);
    driver.group.on_raise_result(kM2, Term(1), grant(1), driver.now);
    driver.group.on_raise_result(kM1, Term(2), grant(2), driver.now);
    driver.group.on_raise_result(kM1, Term(2), grant(2), driver.now);
    driver.collect();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver.count<SendPromote>());
    driver.group.on_raise_result(kM2, Term(2), grant(2), driver.now);
    driver.collect();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.count<SendPromote>());
  }

  // Guards against a flood of Follow orders to a member that cannot follow yet, and against ordering members that
  // already replicate correctly.
  void follow_orders_are_rate_limited() {
    GroupDriver driver;
    driver.report(kM0, status(2, 60, true));
    for (int round = 0; round < 100; ++round) {
      driver.report(kM1, status(1, 60));
      driver.tick(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.count<SendFollow>());
    CPPUNIT_ASSERT(!needs_follow(status(2, 70), status(2, 60)));
    MemberStatus diverging = status(2, 70);
    diverging.history = TermHistory::parse("1:0,2:55").value();
    CPPUNIT_ASSERT(needs_follow(diverging, status(2, 60)));
  }

  // Guards against a freshness sample from a primary that had already been replaced.
  void sample_needs_reports_requested_after_it() {
    FreshnessTracker tracker;
    tracker.set_majority(2);
    const TimePoint start{seconds(100)};
    tracker.on_report(kM1, status(1, 10), start - milliseconds(1), false);
    tracker.on_report(kM0, status(1, 10, true), start, true);
    CPPUNIT_ASSERT(tracker.samples().empty());
    tracker.on_report(kM2, status(2, 10), start + milliseconds(1), false);
    CPPUNIT_ASSERT(tracker.samples().empty());
    tracker.on_report(kM1, status(1, 10), start + milliseconds(2), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), tracker.samples().size());
    CPPUNIT_ASSERT(tracker.samples().front().point == point(1, 10));
    CPPUNIT_ASSERT(tracker.samples().front().requested_at == start);
  }

  // Guards against unbounded memory, and against dropping the old samples that replicas far behind need.
  void number_of_samples_is_limited() {
    FreshnessTracker tracker;
    tracker.set_majority(1);
    TimePoint now{seconds(100)};
    for (std::uint64_t index = 0; index < 10000; ++index) {
      now += FreshnessTracker::kMinSpacing;
      tracker.on_report(kM0, status(1, index, true), now, true);
    }
    CPPUNIT_ASSERT(tracker.samples().size() <= FreshnessTracker::kMaxSamples);
    CPPUNIT_ASSERT(tracker.samples().back().requested_at == now);
    CPPUNIT_ASSERT(tracker.samples().front().requested_at < now - seconds(100));
  }

  // Guards against unnecessary reads on the primary or on a busy replica.
  void reads_prefer_the_replica_with_the_shortest_wait() {
    GroupDriver driver;
    driver.establish_primary(10);
    const ReadRequirement own_writes{{point(1, 10), false}, Freshness::kOwnWrites, Duration(0)};
    const std::map<MemberId, Duration> waits = {{kM1, milliseconds(5)}, {kM2, milliseconds(2)}};
    CPPUNIT_ASSERT(choose_reader(driver.group, own_writes, waits, {}, false, driver.now) == replica_choice(kM2));
    CPPUNIT_ASSERT(choose_reader(driver.group, own_writes, waits, {kM2}, false, driver.now) == replica_choice(kM1));
    CPPUNIT_ASSERT(choose_reader(driver.group, own_writes, waits, {kM1, kM2}, true, driver.now) == primary_choice(kM0));
    const ReadRequirement fresh{{point(1, 10), false}, Freshness::kFresh, Duration(0)};
    CPPUNIT_ASSERT(choose_reader(driver.group, fresh, waits, {}, true, driver.now) == primary_choice(kM0));
    CPPUNIT_ASSERT(choose_reader(driver.group, fresh, waits, {kM0}, true, driver.now).error() ==
                   ReadObstacle::kNoPrimary);
  }

  // Guards against reads that use the primary although they could wait for a replica to catch up.
  void reads_wait_for_lagging_replicas_only_if_allowed() {
    GroupDriver driver;
    driver.establish_primary(10);
    const ReadRequirement position_ahead{{point(1, 20), false}, Freshness::kOwnWrites, Duration(0)};
    CPPUNIT_ASSERT(choose_reader(driver.group, position_ahead, {}, {}, true, driver.now).error() ==
                   ReadObstacle::kReplicasBehind);
    CPPUNIT_ASSERT(choose_reader(driver.group, position_ahead, {}, {}, false, driver.now) == primary_choice(kM0));
    CPPUNIT_ASSERT(!read_is_acceptable(driver.group, position_ahead, status(1, 19), driver.now));
    CPPUNIT_ASSERT(read_is_acceptable(driver.group, position_ahead, status(1, 20), driver.now));
    const ReadRequirement max_age{{}, Freshness::kMaxAge, milliseconds(100)};
    CPPUNIT_ASSERT(read_is_acceptable(driver.group, max_age, status(1, 10), driver.now + milliseconds(100)));
    CPPUNIT_ASSERT(!read_is_acceptable(driver.group, max_age, status(1, 10), driver.now + milliseconds(101)));
    CPPUNIT_ASSERT(!read_is_acceptable(driver.group, max_age, status(1, 9), driver.now));
  }

  // Guards against a session whose write has an unknown outcome and that reads on a replica or on a primary of an
  // earlier term, and against one that finds no acceptable member when the term of its write left no record in the log.
  void uncertain_session_reads_at_a_primary_of_its_term() {
    GroupDriver driver;
    driver.establish_primary(10);
    const ReadRequirement uncertain{{point(2, 10), true}, Freshness::kOwnWrites, Duration(0)};
    CPPUNIT_ASSERT(choose_reader(driver.group, uncertain, {}, {}, true, driver.now) == primary_choice(kM0));
    CPPUNIT_ASSERT(!read_is_acceptable(driver.group, uncertain, status(2, 10), driver.now));
    CPPUNIT_ASSERT(!read_is_acceptable(driver.group, uncertain, status(1, 10, true), driver.now));
    MemberStatus primary = status(1, 10, true);
    primary.raised_term = Term(3);
    CPPUNIT_ASSERT(read_is_acceptable(driver.group, uncertain, primary, driver.now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseGroupTest);

}  // namespace

}  // namespace teaselrudder
