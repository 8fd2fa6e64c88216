#include "drivers/store/etcd_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "drivers/store/base64.h"
#include "drivers/store/call_budget.h"

namespace teaselrudder {

namespace {

const std::string kRangeResponse =
    R"({"header":{"revision":"9"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7"}],"count":"1"})";
const std::string kSwapResponse =
    R"({"header":{"revision":"8"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"8"}}}]})";
const std::string kWatchLine =
    R"({"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"8"}}]}})";
const std::string kHostList =
    R"([{"host":"a","failure_domain":"d","ip":"10.0.0.1","port":7000,"incarnation":3,"state":"leaving"}])";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

class EtcdJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EtcdJsonTest);
  CPPUNIT_TEST(base64_round_trips);
  CPPUNIT_TEST(base64_matches_the_standard);
  CPPUNIT_TEST(reads_answers);
  CPPUNIT_TEST(rejects_every_truncation);
  CPPUNIT_TEST(rejects_wrong_fields);
  CPPUNIT_TEST(round_trips_host_lists);
  CPPUNIT_TEST(rejects_wrong_host_lists);
  CPPUNIT_TEST(deep_nesting_and_excessive_numbers_are_refused);
  CPPUNIT_TEST(call_budget_never_exceeds_rate_and_burst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that ends again and again because of one entry that another writer left in the store.
  void deep_nesting_and_excessive_numbers_are_refused() {
    constexpr std::size_t kDepth = 300000;
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    for (const std::string& odd :
         {nested, std::string("1e999"), std::string("18446744073709551616"), std::string("-9223372036854775809")}) {
      CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "\"7\"", odd), "k").has_value());
      CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "\"9\"", odd), "k").has_value());
      CPPUNIT_ASSERT(!decode_compare_and_swap(replaced(kSwapResponse, "\"8\"", odd), "k", "v").has_value());
      CPPUNIT_ASSERT(!decode_watch_line(replaced(kWatchLine, "\"8\"", odd), "k").has_value());
      CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "3", odd)).has_value());
      CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "7000", odd)).has_value());
    }
    CPPUNIT_ASSERT(!decode_host_list(nested).has_value());
    CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "\"9\"", "9223372036854775808"), "k").has_value());
  }

  // Guards against values that change on their way to the store and back.
  void base64_round_trips() {
    CPPUNIT_ASSERT(rc::check([](const std::string& bytes) {
      const bool same = base64_decode(base64_encode(bytes)) == bytes;
      RC_ASSERT(same);
    }));
  }

  // Guards against an encoding that only its own decoder can read. Uses examples of RFC 4648.
  void base64_matches_the_standard() {
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYmE="), base64_encode("fooba"));
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYmFy"), base64_encode("foobar"));
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), base64_encode("foob"));
    for (const char* wrong : {"Zg", "Zg=", "Z===", "Zh==", "Zm9=", "Zg==Zg==", "Z*==", "====", "Zm9vYg==\n"}) {
      CPPUNIT_ASSERT_MESSAGE(wrong, !base64_decode(wrong).has_value());
    }
  }

  // Guards against wrong revisions, which would let a compare-and-swap overwrite another change.
  void reads_answers() {
    const StoreValue read = decode_range(kRangeResponse, "k").value();
    CPPUNIT_ASSERT(read.value == "v" && read.modified == StoreRevision(7) && read.current == StoreRevision(9));
    const StoreValue absent = decode_range(R"({"header":{"revision":"9"}})", "k").value();
    CPPUNIT_ASSERT(!absent.value.has_value() && absent.modified == StoreRevision(0));

    const CompareAndSwapResult won = decode_compare_and_swap(kSwapResponse, "k", "new").value();
    CPPUNIT_ASSERT(won.swapped && won.present.value == "new" && won.present.modified == StoreRevision(8));
    const std::string lost_answer =
        R"({"header":{"revision":"9"},"responses":[{"response_range":)" + kRangeResponse + "}]}";
    const CompareAndSwapResult lost = decode_compare_and_swap(lost_answer, "k", "new").value();
    CPPUNIT_ASSERT(!lost.swapped && lost.present.value == "v" && lost.present.modified == StoreRevision(7));

    const WatchMessage change = decode_watch_line(kWatchLine, "k").value();
    CPPUNIT_ASSERT(change.changes.size() == 1 && change.changes.front().value == "v");
    const std::string removed =
        R"({"result":{"header":{"revision":"8"},"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"8"}}]}})";
    CPPUNIT_ASSERT(!decode_watch_line(removed, "k").value().changes.front().value.has_value());
    CPPUNIT_ASSERT(decode_watch_line(R"({"result":{"canceled":true}})", "k").value().cancelled);
  }

  // Guards against a truncated response that is taken for a complete one.
  void rejects_every_truncation() {
    for (std::size_t length = 0; length < kRangeResponse.size(); ++length) {
      CPPUNIT_ASSERT(!decode_range(kRangeResponse.substr(0, length), "k").has_value());
    }
    for (std::size_t length = 0; length < kSwapResponse.size(); ++length) {
      CPPUNIT_ASSERT(!decode_compare_and_swap(kSwapResponse.substr(0, length), "k", "v").has_value());
    }
    for (std::size_t length = 0; length < kWatchLine.size(); ++length) {
      CPPUNIT_ASSERT(!decode_watch_line(kWatchLine.substr(0, length), "k").has_value());
    }
    for (std::size_t length = 0; length < kHostList.size(); ++length) {
      CPPUNIT_ASSERT(!decode_host_list(kHostList.substr(0, length)).has_value());
    }
  }

  // Guards against responses of another kind, about another key or from another service that are accepted.
  void rejects_wrong_fields() {
    CPPUNIT_ASSERT(!decode_range(kRangeResponse, "other").has_value());
    CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "\"9\"", "\"nine\""), "k").has_value());
    CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "\"9\"", "\"99999999999999999999\""), "k").has_value());
    CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "\"7\"", "\"10\""), "k").has_value());
    CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "dg==", "d==="), "k").has_value());
    CPPUNIT_ASSERT(!decode_range(replaced(kRangeResponse, "[{", "[{},{"), "k").has_value());
    CPPUNIT_ASSERT(!decode_range("{}", "k").has_value());
    CPPUNIT_ASSERT(!decode_range("[]", "k").has_value());
    CPPUNIT_ASSERT(!decode_compare_and_swap(kRangeResponse, "k", "v").has_value());
    CPPUNIT_ASSERT(!decode_compare_and_swap(replaced(kSwapResponse, "true", "\"yes\""), "k", "v").has_value());
    CPPUNIT_ASSERT(!decode_watch_line(R"({"error":{"code":14}})", "k").has_value());
    CPPUNIT_ASSERT(!decode_watch_line(kWatchLine, "other").has_value());
  }

  // Guards against a host list whose encoding loses a state or an incarnation.
  void round_trips_host_lists() {
    CPPUNIT_ASSERT(rc::check([](std::uint64_t incarnation) {
      const auto state = static_cast<HostState>(*rc::gen::inRange(0, 4));
      const Endpoint endpoint{"10.0.0.1", static_cast<std::uint16_t>(*rc::gen::inRange(1, 65536))};
      const std::vector<HostRecord> hosts = {
          {HostId("a"), FailureDomainId("d"), endpoint, Incarnation(incarnation), state},
          {HostId("b"), FailureDomainId("e"), {"fd00::1", 1}, Incarnation(0), HostState::kAlive}};
      const bool same = decode_host_list(encode_host_list(hosts)) == hosts;
      RC_ASSERT(same);
    }));
  }

  // Guards against an invalid host list that replaces the hosts' own records.
  void rejects_wrong_host_lists() {
    CPPUNIT_ASSERT(decode_host_list(kHostList).has_value());
    CPPUNIT_ASSERT(!decode_host_list("{}").has_value());
    CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "leaving", "gone")).has_value());
    CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "10.0.0.1", "host.example")).has_value());
    CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "7000", "70000")).has_value());
    CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "7000", "0")).has_value());
    CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "\"incarnation\":3", "\"incarnation\":-3")).has_value());
    CPPUNIT_ASSERT(!decode_host_list(replaced(kHostList, "\"a\"", "\"\"")).has_value());
    const std::string twice = replaced(kHostList, "]", "," + kHostList.substr(1));
    CPPUNIT_ASSERT(!decode_host_list(twice).has_value());
  }

  // Guards against a host that exceeds its share of the store's capacity, also with calls at irregular intervals.
  void call_budget_never_exceeds_rate_and_burst() {
    CPPUNIT_ASSERT(rc::check([] {
      constexpr double kRate = 5.0;
      constexpr double kBurst = 3.0;
      TimePoint now{};
      CallBudget budget(kRate, kBurst, now);
      int taken = 0;
      for (int step = 0; step < 100; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        taken += budget.try_take(now) ? 1 : 0;
        const std::chrono::duration<double> elapsed = now.time_since_epoch();
        RC_ASSERT(taken <= kBurst + kRate * elapsed.count() + 1e-6);
      }
      now += std::chrono::seconds(1);
      RC_ASSERT(budget.try_take(now));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdJsonTest);

}  // namespace

}  // namespace teaselrudder
