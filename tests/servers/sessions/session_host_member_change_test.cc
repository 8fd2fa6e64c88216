// Members that join or restart, and promotion orders that take effect late, while a lost primary is replaced.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "servers/session_host/session_host.h"
#include "tests/model/session_world.h"
#include "tests/servers/sessions/expect_no_violations.h"

namespace teaselrudder {

namespace {

using model::SessionWorld;

constexpr std::size_t kHosts = 5;
constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
/// Interval at which callers look for a reply before they send their next write.
constexpr Duration kWriteInterval = 10 * kMillisecond;
/// Time between an order and its effect; long enough for a member to join or restart in between.
constexpr Duration kSlowPromotion = kSecond;
/// Maximum time from the loss of the primary to the first write that succeeds at its successor.
constexpr Duration kMaxOutage = 7 * kSecond;
/// Long enough for a write that is sent at the loss to wait at the old primary until the promotion takes effect.
constexpr Duration kStatementTimeout = 4 * kSecond;

class SessionHostMemberChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionHostMemberChangeTest);
  CPPUNIT_TEST(commit_received_only_by_a_member_that_joined_after_the_stop_is_not_acknowledged);
  CPPUNIT_TEST(commit_received_only_by_a_member_that_joined_is_not_acknowledged_by_a_host_that_hears_the_others);
  CPPUNIT_TEST(commit_received_only_by_a_replica_that_restarted_after_the_stop_is_not_acknowledged);
  CPPUNIT_TEST(late_order_drops_no_commit_of_an_old_primary_that_is_reachable_again);
  CPPUNIT_TEST(primary_of_the_next_duty_holder_keeps_its_commits_after_a_late_order_of_the_former_one);
  CPPUNIT_TEST(host_that_missed_a_revocation_passes_no_commit_on_while_nobody_holds_the_duty);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against commits that are acknowledged because a new member receives them after the replicas have stopped: a
  // host that was cut off together with the primary passed the acknowledgement on, and the promoted member lacks them.
  void commit_received_only_by_a_member_that_joined_after_the_stop_is_not_acknowledged() {
    for (const bool fenced : {true, false}) {
      Scene scene(fenced);
      scene.world.isolate({scene.beside}, {scene.old_primary});
      expect_join_after_the_stop_is_safe(scene);
    }
  }

  // Guards against the same where the host that still reaches the old primary hears all other hosts, so that only the
  // missing lease keeps it from passing the acknowledgement on.
  void commit_received_only_by_a_member_that_joined_is_not_acknowledged_by_a_host_that_hears_the_others() {
    for (const bool fenced : {true, false}) {
      Scene scene(fenced);
      scene.world.isolate({}, {scene.old_primary});
      scene.world.allow_path(scene.beside, scene.old_primary);
      expect_join_after_the_stop_is_safe(scene);
    }
  }

  // Guards against commits that are acknowledged because a stopped replica has restarted, which ends its stop, between
  // the order for another member and its effect, when the members reach each other again.
  void commit_received_only_by_a_replica_that_restarted_after_the_stop_is_not_acknowledged() {
    for (const bool fenced : {true, false}) {
      for (const bool hosts_return : {true, false}) {
        Scene scene(fenced);
        scene.world.isolate({scene.beside}, {scene.old_primary});
        scene.run_until_ordered();
        const std::size_t restarted = scene.replica_without_order();
        if (hosts_return) {
          scene.heal();
        } else {
          scene.cut_hosts_off();
        }
        scene.world.restart_member(restarted, 20 * kMillisecond, Duration(0));
        scene.run_until_promoted();
        expect_dropped_commit_at(scene, restarted);
        scene.expect_served_again();
        scene.heal();
        scene.keep_writing(3 * kSecond);
        expect_no_violations(scene.world);
      }
    }
  }

  // Guards against commits at a former primary that serves again while an order without an answer can still take
  // effect. Every order of this time gets no answer, and a replica that has restarted lets the old primary acknowledge.
  void late_order_drops_no_commit_of_an_old_primary_that_is_reachable_again() {
    for (const bool fenced : {true, false}) {
      for (const Duration cut_time : {Duration(0), 300 * kMillisecond, 1000 * kMillisecond}) {
        Scene scene(fenced);
        scene.world.members().delayed_promotions = 100;
        scene.world.isolate({}, {scene.old_primary});
        scene.run_until_ordered();
        scene.keep_writing(cut_time);
        scene.heal();
        scene.world.restart_member(scene.replica_without_order(), 20 * kMillisecond, Duration(0));
        scene.keep_writing(10 * kSecond);
        scene.world.members().delayed_promotions = 0;
        scene.keep_writing(12 * kSecond);
        CPPUNIT_ASSERT_MESSAGE("no order has taken effect", scene.world.members().effective_promotions() > 0);
        expect_no_violations(scene.world);
      }
    }
  }

  // Guards against commits in the term of a new primary, or at the old one, that an order of the former holder of the
  // duty drops: it got no answer, its sender was killed, and its member has received no log since.
  void primary_of_the_next_duty_holder_keeps_its_commits_after_a_late_order_of_the_former_one() {
    for (const bool returns : {true, false}) {
      for (const Duration delay : {Duration(0), 200 * kMillisecond, 1000 * kMillisecond}) {
        Scene scene(true);
        scene.world.members().delayed_promotions = 1;
        scene.world.isolate({}, {scene.old_primary});
        scene.run_until_ordered();
        scene.world.kill_host(scene.holder);
        const std::size_t ordered = scene.ordered_member();
        scene.keep_writing(delay);
        scene.world.members().member(ordered).receives_no_log = true;
        if (returns) {
          scene.heal();
        }
        scene.keep_writing(20 * kSecond);
        scene.heal();
        scene.world.members().member(ordered).receives_no_log = false;
        scene.keep_writing(3 * kSecond);
        const std::size_t before = scene.successes();
        scene.keep_writing(kSecond);
        CPPUNIT_ASSERT_MESSAGE("no write succeeds after the late order", scene.successes() > before);
        expect_no_violations(scene.world);
      }
    }
  }

  // Guards against commits that a late order of a killed holder drops: a host that was cut off while the leases were
  // revoked found that nobody holds the duty and passed acknowledgements of the old primary on without a lease.
  void host_that_missed_a_revocation_passes_no_commit_on_while_nobody_holds_the_duty() {
    for (const Duration delay : {Duration(0), 200 * kMillisecond, 500 * kMillisecond}) {
      Scene scene(true);
      scene.world.members().delayed_promotions = 1;
      scene.world.isolate({scene.beside}, {scene.old_primary});
      scene.run_until_ordered();
      scene.world.kill_host(scene.holder);
      scene.world.store().down = true;
      scene.keep_writing(delay);
      scene.heal();
      scene.world.restart_member(scene.replica_without_order(), 20 * kMillisecond, Duration(0));
      scene.keep_writing(15 * kSecond);
      scene.world.store().down = false;
      scene.keep_writing(10 * kSecond);
      expect_no_violations(scene.world);
    }
  }

 private:
  /// A group whose primary is about to be lost, and callers that write at all hosts.
  struct Scene {
    explicit Scene(bool fenced) : world(kHosts, 1, {.fenced = fenced}) {
      world.members().promotion_time = kSlowPromotion;
      world.publish_routes(kStatementTimeout);
      callers = world.open_sessions(SessionWorld::kPrimaryReads);
      keep_writing(kSecond);
      holder = world.duty_holder();
      beside = (holder + 1) % kHosts;
      old_primary = world.members().primary();
      lost_at = world.events().now();
    }

    /// Lets each caller send its next write as soon as it has the reply to the last one, on a new session if the host
    /// has closed the old one.
    void keep_writing(Duration time) {
      for (const TimePoint end = world.events().now() + time; world.events().now() < end;) {
        for (std::size_t& caller : callers) {
          if (world.caller(caller).gave_up) {
            continue;
          }
          if (world.caller(caller).closed) {
            caller = world.open_session(world.caller(caller).host, SessionWorld::kPrimaryReads);
          } else if (world.caller(caller).sent.empty()) {
            world.send(caller, StatementKind::kWrite);
          }
        }
        world.run_for(kWriteInterval);
      }
    }

    /// Cuts all hosts but one off from the primary, and this one from everything else. The members reach each other.
    void cut_hosts_off() {
      world.isolate({beside}, {});
      world.allow_path(beside, old_primary);
      for (std::size_t host = 0; host < kHosts; ++host) {
        if (host != beside) {
          world.block_path(host, old_primary);
        }
      }
    }

    void heal() { world.isolate({}, {}); }

    std::uint64_t orders() {
      std::uint64_t sum = 0;
      for (std::size_t host = 0; host < kHosts; ++host) {
        sum += world.counters(host).value("promotions_ordered");
      }
      return sum;
    }

    void run_until_ordered() {
      while (orders() == 0 && world.events().now() < lost_at + kMaxOutage) {
        keep_writing(kWriteInterval);
      }
      CPPUNIT_ASSERT_MESSAGE("no promotion was ordered", orders() > 0);
    }

    void run_until_promoted() {
      while (world.members().effective_promotions() == 0 && world.events().now() < lost_at + kMaxOutage) {
        keep_writing(kWriteInterval);
      }
      CPPUNIT_ASSERT_MESSAGE("no promotion took effect", world.members().effective_promotions() > 0);
    }

    /// Returns the member that the newest replacement promotes.
    std::size_t ordered_member() const {
      const std::string label = " candidate=m";
      const auto line = std::find_if(world.trace().rbegin(), world.trace().rend(), [](const std::string& text) {
        return text.find(" to=promoting ") != std::string::npos;
      });
      CPPUNIT_ASSERT(line != world.trace().rend());
      return std::stoul(line->substr(line->find(label) + label.size()));
    }

    std::size_t replica_without_order() const {
      // The group has the members 0, 1 and 2.
      return 3 - old_primary - ordered_member();
    }

    /// Number of writes that succeeded at hosts outside the cut.
    std::size_t successes() {
      std::size_t sum = 0;
      for (std::size_t caller = 0; caller < world.callers(); ++caller) {
        const std::vector<StatementReply>& replies = world.caller(caller).replies;
        sum += world.caller(caller).host == beside
                   ? 0
                   : static_cast<std::size_t>(std::count_if(
                         replies.begin(), replies.end(), [](const auto& reply) { return !reply.error.has_value(); }));
      }
      return sum;
    }

    /// Fails unless a write succeeds at a host outside the cut within kMaxOutage of the loss.
    void expect_served_again() {
      const std::size_t before = successes();
      while (successes() == before && world.events().now() < lost_at + kMaxOutage) {
        keep_writing(kWriteInterval);
      }
      CPPUNIT_ASSERT_MESSAGE("no write succeeded at the new primary in time", successes() > before);
    }

    SessionWorld world;
    std::vector<std::size_t> callers;
    std::size_t holder = 0;
    /// The host that still reaches the old primary.
    std::size_t beside = 0;
    std::size_t old_primary = 0;
    TimePoint lost_at;
  };

  /// Fails unless the old primary acknowledged a commit that `member` held and the promotion dropped. Without one, the
  /// scenario shows nothing. The trace tells of it, because the member may follow the new primary at once.
  static void expect_dropped_commit_at(const Scene& scene, std::size_t member) {
    const std::vector<std::string>& trace = scene.world.trace();
    const std::string held = " at_m" + std::to_string(member);
    CPPUNIT_ASSERT_MESSAGE("the promotion dropped no acknowledged commit that the changed member held",
                           std::any_of(trace.begin(), trace.end(), [&held](const std::string& line) {
                             return line.find(" drops a commit: ") != std::string::npos &&
                                    line.find(" acknowledged ") != std::string::npos &&
                                    line.find(held) != std::string::npos;
                           }));
  }

  static void expect_join_after_the_stop_is_safe(Scene& scene) {
    scene.run_until_ordered();
    const std::size_t joined = scene.world.add_member(200 * kMillisecond, true);
    scene.run_until_promoted();
    expect_dropped_commit_at(scene, joined);
    scene.expect_served_again();
    scene.heal();
    scene.keep_writing(3 * kSecond);
    expect_no_violations(scene.world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionHostMemberChangeTest);

}  // namespace

}  // namespace teaselrudder
