#include "servers/scheduling/shared_reads.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace teaselrudder {

namespace {

using std::chrono::milliseconds;

LogPoint point(std::uint64_t position) { return {Term(1), LogPosition(position)}; }

SharedWaiter waiter_of(std::uint64_t id, TimePoint now) {
  return {SharedWaiterId(id), {}, milliseconds(100), Urgency::kNormal, now + milliseconds(500), now};
}

/// Applies random operations and checks the results against a simple model: for each execution its waiters and how
/// recent the data is that it reads.
class SharedReadsModel {
 public:
  void step() {
    m_now += milliseconds(*rc::gen::inRange(0, 40));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        return join();
      case 2:
        return start();
      case 3:
        return answer();
      case 4:
        return fail();
      default:
        return leave();
    }
  }

 private:
  struct Execution {
    std::string sql;
    SharedWaiterId starter;
    std::set<SharedWaiterId> waiters;
    /// The execution reads everything up to `reads_up_to` and everything that was written before `reads_as_of`.
    std::optional<TimePoint> started_at;
    LogPoint reads_up_to;
    TimePoint reads_as_of;
  };

  void join() {
    SharedWaiter waiter = waiter_of(m_next_waiter++, m_now);
    waiter.session = {point(*rc::gen::inRange<std::uint64_t>(0, 3)), *rc::gen::inRange(0, 8) == 0};
    waiter.max_age = milliseconds(*rc::gen::inRange(0, 150));
    waiter.urgency = *rc::gen::elementOf(std::vector{Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground});
    const std::string sql = *rc::gen::elementOf(std::vector<std::string>{"select 1", "select 2"});
    const Join join = m_reads.join(ServiceName("s"), {{sql, {}}}, waiter, m_now);
    RC_ASSERT(waiter.session.uncertain == (join.result == JoinResult::kUnshared));
    if (join.result == JoinResult::kUnshared) {
      return;
    }
    Execution& execution = m_executions[join.execution];
    if (join.result == JoinResult::kStarted) {
      execution.sql = sql;
      execution.starter = waiter.id;
    }
    RC_ASSERT(execution.sql == sql);
    execution.waiters.insert(waiter.id);
    m_waiters.emplace(waiter.id, waiter);
  }

  std::map<SharedExecutionId, Execution>::iterator any_execution() {
    return std::next(m_executions.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(m_executions)));
  }

  void start() {
    if (m_executions.empty()) {
      return;
    }
    const auto chosen = any_execution();
    m_reads.on_started(chosen->first, m_now);
    chosen->second.started_at = m_now;
    chosen->second.reads_up_to = point(*rc::gen::inRange<std::uint64_t>(0, 3));
    chosen->second.reads_as_of = m_now - milliseconds(*rc::gen::inRange(0, 120));
  }

  /// Checks that each waiter of an execution that ended is in exactly one list.
  void check_complete(const Execution& execution, const SharedOutcome& outcome) const {
    std::vector<SharedWaiterId> all = outcome.answered;
    all.insert(all.end(), outcome.to_rerun.begin(), outcome.to_rerun.end());
    all.insert(all.end(), outcome.refused.begin(), outcome.refused.end());
    std::sort(all.begin(), all.end());
    RC_ASSERT(all == std::vector<SharedWaiterId>(execution.waiters.begin(), execution.waiters.end()));
    RC_ASSERT(m_reads.executions() == m_executions.size());
  }

  void answer() {
    if (m_executions.empty() || !any_execution()->second.started_at) {
      return;
    }
    const auto chosen = any_execution();
    if (!chosen->second.started_at) {
      return;
    }
    const Execution execution = chosen->second;
    const SharedOutcome outcome = m_reads.on_answer(chosen->first, [&](const SharedWaiter& waiter, TimePoint as_of) {
      return waiter.session.point <= execution.reads_up_to && as_of - waiter.max_age <= execution.reads_as_of;
    });
    m_executions.erase(chosen);
    check_complete(execution, outcome);
    for (const SharedWaiterId id : execution.waiters) {
      const SharedWaiter& waiter = m_waiters.at(id);
      const TimePoint needed = std::max(waiter.arrived_at, *execution.started_at) - waiter.max_age;
      const bool allowed = waiter.session.point <= execution.reads_up_to && needed <= execution.reads_as_of;
      const bool answered = std::count(outcome.answered.begin(), outcome.answered.end(), id) > 0;
      RC_ASSERT(answered == allowed);
    }
  }

  void fail() {
    if (m_executions.empty()) {
      return;
    }
    const auto chosen = any_execution();
    const Execution execution = chosen->second;
    const auto failure = *rc::gen::elementOf(std::vector{SharedFailure::kExecution, SharedFailure::kStatement});
    const SharedOutcome outcome = m_reads.on_failure(chosen->first, failure, m_now);
    m_executions.erase(chosen);
    check_complete(execution, outcome);
    RC_ASSERT(outcome.answered.empty());
    for (const SharedWaiterId id : outcome.to_rerun) {
      RC_ASSERT(failure == SharedFailure::kExecution);
      RC_ASSERT(id != execution.starter);
      RC_ASSERT(m_waiters.at(id).deadline > m_now);
    }
  }

  void leave() {
    const SharedWaiterId id(*rc::gen::inRange<std::uint64_t>(0, m_next_waiter));
    const std::optional<SharedExecutionId> abandoned = m_reads.leave(id);
    for (auto& [execution_id, execution] : m_executions) {
      if (execution.waiters.erase(id) > 0 && execution.waiters.empty()) {
        RC_ASSERT(abandoned == execution_id);
        m_executions.erase(execution_id);
        return;
      }
    }
    RC_ASSERT(!abandoned);
  }

  SharedReads m_reads;
  TimePoint m_now;
  std::uint64_t m_next_waiter = 1;
  std::map<SharedWaiterId, SharedWaiter> m_waiters;
  std::map<SharedExecutionId, Execution> m_executions;
};

class SharedReadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedReadsTest);
  CPPUNIT_TEST(answers_waiters_only_with_acceptable_results);
  CPPUNIT_TEST(joins_only_executions_that_can_meet_the_requirements);
  CPPUNIT_TEST(distinguishes_parameters);
  CPPUNIT_TEST(limits_executions_and_waiters);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against results that are too old for a waiter, against lost waiters, and against a waiter that leaves and
  // thereby cancels the execution for the others.
  void answers_waiters_only_with_acceptable_results() {
    const bool holds = rc::check([] {
      SharedReadsModel model;
      for (int step = 0; step < 200; ++step) {
        model.step();
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against waiting for a result that cannot meet the requirements of the read, or behind work of a lower
  // urgency.
  void joins_only_executions_that_can_meet_the_requirements() {
    const TimePoint now;
    const auto join = [&](SharedReads& reads, const SharedWaiter& waiter, TimePoint at) {
      return reads.join(ServiceName("s"), {{"select 1", {}}}, waiter, at).result;
    };
    SharedReads reads;
    CPPUNIT_ASSERT(join(reads, waiter_of(1, now), now) == JoinResult::kStarted);
    CPPUNIT_ASSERT(join(reads, waiter_of(2, now), now) == JoinResult::kJoined);
    SharedWaiter with_later_position = waiter_of(3, now);
    with_later_position.session.point = point(1);
    CPPUNIT_ASSERT(join(reads, with_later_position, now) == JoinResult::kStarted);
    SharedWaiter urgent = waiter_of(4, now);
    urgent.urgency = Urgency::kUrgent;
    CPPUNIT_ASSERT(join(reads, urgent, now) == JoinResult::kStarted);
    reads.on_started(SharedExecutionId(3), now);
    CPPUNIT_ASSERT(join(reads, waiter_of(5, now), now + milliseconds(100)) == JoinResult::kJoined);
    CPPUNIT_ASSERT(join(reads, waiter_of(6, now), now + milliseconds(101)) == JoinResult::kStarted);
  }

  // Guards against receiving the result for other parameters or another service.
  void distinguishes_parameters() {
    SharedReads reads;
    const std::vector<std::vector<Statement>> reads_of_same_text = {
        {{"q", {}}},   {{"q", {"1"}}},      {{"q", {std::nullopt}}},
        {{"q", {""}}}, {{"q", {"1", "1"}}}, {{"q", {}}, {"q", {}}}};
    std::uint64_t id = 1;
    for (const std::vector<Statement>& statements : reads_of_same_text) {
      for (const char* service : {"a", "b"}) {
        const Join join = reads.join(ServiceName(service), statements, waiter_of(id++, TimePoint()), TimePoint());
        CPPUNIT_ASSERT(join.result == JoinResult::kStarted);
      }
    }
  }

  // Guards against unbounded memory.
  void limits_executions_and_waiters() {
    SharedReads reads;
    std::uint64_t id = 1;
    const auto join = [&](const std::string& sql) {
      return reads.join(ServiceName("s"), {{sql, {}}}, waiter_of(id++, TimePoint()), TimePoint()).result;
    };
    CPPUNIT_ASSERT(join(std::string(SharedReads::kMaxKeyLength, 'x')) == JoinResult::kUnshared);
    for (std::size_t count = 0; count < SharedReads::kMaxExecutions - 1; ++count) {
      CPPUNIT_ASSERT(join(std::to_string(count)) == JoinResult::kStarted);
    }
    for (std::size_t count = 1; count < SharedReads::kMaxWaiters; ++count) {
      CPPUNIT_ASSERT(join("0") == JoinResult::kJoined);
    }
    CPPUNIT_ASSERT(join("0") == JoinResult::kStarted);
    CPPUNIT_ASSERT(join("new") == JoinResult::kUnshared);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedReadsTest);

}  // namespace

}  // namespace teaselrudder
