#include "drivers/http/request_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

const CallerRoute kStatements{ServiceName("rooms"), TransactionStep::kNone, TransactionHandle()};
const CallerRoute kCommit{ServiceName(), TransactionStep::kCommit, TransactionHandle("h1")};

const std::string kFullBody =
    R"({"statements":[{"sql":"SELECT $1","params":["a",null,7,true]},{"sql":"SELECT 2"}],"token":"t",)"
    R"("freshness":"max_age","max_age_ms":1500,"urgency":"urgent","deadline_ms":250,"idempotent":true,)"
    R"("read_only":false,"request_id":"r-1"})";

void assert_refused(RefusalReason reason, const CallerRoute& route, const std::string& body) {
  const auto parsed = parse_request(route, body);
  CPPUNIT_ASSERT_MESSAGE(body, !parsed.has_value());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::string(to_string(reason)), std::string(to_string(parsed.error().reason)));
  CPPUNIT_ASSERT(parsed.error().ran == Ran::kNo);
  CPPUNIT_ASSERT(!parsed.error().detail.empty());
}

class RequestJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestJsonTest);
  CPPUNIT_TEST(reads_every_route);
  CPPUNIT_TEST(reads_every_field);
  CPPUNIT_TEST(refuses_every_truncation);
  CPPUNIT_TEST(survives_altered_bytes);
  CPPUNIT_TEST(refuses_malformed_documents);
  CPPUNIT_TEST(refuses_wrong_types_and_ranges);
  CPPUNIT_TEST(refuses_fields_that_the_step_forbids);
  CPPUNIT_TEST(refuses_oversized_parts);
  CPPUNIT_TEST(writes_answers_and_refusals);
  CPPUNIT_TEST(maps_every_reason_to_a_documented_status);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a path that is mapped to the wrong transaction step, and against unknown paths that are accepted.
  void reads_every_route() {
    CPPUNIT_ASSERT(parse_route("/v1/services/rooms/statements")->step == TransactionStep::kNone);
    CPPUNIT_ASSERT(parse_route("/v1/services/rooms/transactions")->step == TransactionStep::kBegin);
    CPPUNIT_ASSERT(parse_route("/v1/transactions/h1/statements")->step == TransactionStep::kContinue);
    CPPUNIT_ASSERT(parse_route("/v1/transactions/h1/commit")->step == TransactionStep::kCommit);
    CPPUNIT_ASSERT(parse_route("/v1/transactions/h1/rollback")->transaction == TransactionHandle("h1"));
    CPPUNIT_ASSERT(parse_route("/v1/services/rooms/statements")->service == ServiceName("rooms"));
    for (const char* path :
         {"", "/", "/v1/services/", "/v1/services//statements", "/v1/services/rooms", "/v1/services/rooms/commit",
          "/v1/services/rooms/statements/", "/v1/transactions/h1", "/v1/transactions/h1/transactions",
          "/v2/services/rooms/statements", "/v1/services/rooms/statements?x=1"}) {
      CPPUNIT_ASSERT_MESSAGE(path, !parse_route(path).has_value());
    }
  }

  // Guards against a field that is accepted and then ignored.
  void reads_every_field() {
    const Request request = parse_request(kStatements, kFullBody).value();
    Request expected;
    expected.service = ServiceName("rooms");
    expected.statements = {{"SELECT $1", {"a", std::nullopt, "7", "true"}}, {"SELECT 2", {}}};
    expected.token = "t";
    expected.freshness = Freshness::kMaxAge;
    expected.max_age = std::chrono::milliseconds(1500);
    expected.urgency = Urgency::kUrgent;
    expected.deadline = std::chrono::milliseconds(250);
    expected.idempotent = true;
    expected.read_only = false;
    expected.request_id = RequestId("r-1");
    CPPUNIT_ASSERT(request == expected);
    CPPUNIT_ASSERT(parse_request(kCommit, "").value().step == TransactionStep::kCommit);
  }

  // Guards against executing a request whose body is truncated.
  void refuses_every_truncation() {
    for (std::size_t length = 1; length < kFullBody.size(); ++length) {
      assert_refused(RefusalReason::kBadRequest, kStatements, kFullBody.substr(0, length));
    }
  }

  // Guards against crashes on a body with altered bytes.
  void survives_altered_bytes() {
    const bool holds = rc::check([](std::uint8_t byte) {
      std::string body = kFullBody;
      body[*rc::gen::inRange<std::size_t>(0, body.size())] = static_cast<char>(byte);
      const auto parsed = parse_request(kStatements, body);
      RC_ASSERT(parsed.has_value() || !parsed.error().detail.empty());
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against crashes on malformed documents, and against using only a part of such a document.
  void refuses_malformed_documents() {
    for (const std::string& body :
         {std::string("[]"), std::string("null"), std::string("7"), std::string("{}{}"), std::string("{\"a\""),
          std::string("\xff\xfe"), std::string("{\"statements\":[{\"sql\":\"\xc3\x28\"}]}"), std::string(100000, '['),
          std::string(R"({"statements":[{"sql":"SELECT 1"}],"token":"a","token":"b"})"),
          std::string(R"({"statements":[{"sql":"SELECT 1","params":[[[[[[[]]]]]]]}]})")}) {
      assert_refused(RefusalReason::kBadRequest, kStatements, body);
    }
  }

  // Guards against implicit conversions that change the value of a field, and against texts with zero bytes, which the
  // database would truncate.
  void refuses_wrong_types_and_ranges() {
    const Json valid = Json::parse(kFullBody);
    const std::vector<std::pair<const char*, const char*>> cases = {
        {"statements", "{}"},
        {"statements", "[]"},
        {"statements", "[1]"},
        {"statements", "[{}]"},
        {"token", "7"},
        {"freshness", "\"newest\""},
        {"freshness", "1"},
        {"max_age_ms", "-1"},
        {"max_age_ms", "1.5"},
        {"max_age_ms", "\"1\""},
        {"max_age_ms", "86400001"},
        {"urgency", "\"high\""},
        {"deadline_ms", "0"},
        {"deadline_ms", "600001"},
        {"deadline_ms", "18446744073709551615"},
        {"idempotent", "1"},
        {"read_only", "\"true\""},
        {"request_id", "\"\""},
        {"request_id", "\"a b\""},
        {"request_id", "null"},
        {"unknown", "1"},
        {"freshness", "\"fresh\""},
        {"statements", R"([{"sql":""}])"},
        {"statements", R"([{"sql":"a\u0000b"}])"},
        {"statements", R"([{"sql":"a","params":{}}])"},
        {"statements", R"([{"sql":"a","params":[1.5]}])"},
        {"statements", R"([{"sql":"a","params":["\u0000"]}])"},
        {"statements", R"([{"sql":"a","timeout":1}])"},
    };
    for (const auto& [field, value] : cases) {
      Json altered = valid;
      altered[field] = Json::parse(value);
      assert_refused(RefusalReason::kBadRequest, kStatements, altered.dump());
    }
  }

  // Guards against a commit that is accepted with statements although they would not be executed.
  void refuses_fields_that_the_step_forbids() {
    assert_refused(RefusalReason::kBadRequest, kCommit, R"({"statements":[{"sql":"SELECT 1"}]})");
    assert_refused(RefusalReason::kBadRequest, kCommit, R"({"freshness":"fresh"})");
    assert_refused(RefusalReason::kBadRequest, kStatements, "");
  }

  // Guards against names, tokens and lists without a maximum size.
  void refuses_oversized_parts() {
    const std::string body = R"({"statements":[{"sql":"SELECT 1"}]})";
    CallerRoute route = kStatements;
    route.service = ServiceName(std::string(65, 's'));
    assert_refused(RefusalReason::kUnknownService, route, body);
    route = kCommit;
    route.transaction = TransactionHandle(std::string(257, 'h'));
    assert_refused(RefusalReason::kUnknownTransaction, route, "");
    Json request = Json::parse(body);
    request["token"] = std::string(513, 't');
    assert_refused(RefusalReason::kTokenMalformed, kStatements, request.dump());
    request = Json::parse(body);
    request["statements"] = Json(257, request["statements"][0]);
    assert_refused(RefusalReason::kBadRequest, kStatements, request.dump());
  }

  // Guards against a response that loses a value, confuses NULL with an empty string, or fails on invalid UTF-8 from an
  // upstream.
  void writes_answers_and_refusals() {
    const CallerAnswer answer{{{{"a", "b"}, {{"1", std::nullopt}, {"", "\xff"}}, 2}},
                              "t",
                              RequestId("r"),
                              MemberId("m"),
                              TransactionHandle("h")};
    const Json written = Json::parse(write_answer(answer));
    const Json expected = Json::parse(
        "{\"results\":[{\"columns\":[\"a\",\"b\"],\"rows\":[[\"1\",null],[\"\",\"\xef\xbf\xbd\"]],\"affected\":2}],"
        "\"token\":\"t\",\"request_id\":\"r\",\"served_by\":\"m\",\"transaction\":\"h\"}");
    CPPUNIT_ASSERT_EQUAL(expected.dump(), written.dump());
    const CallerRefusal refusal{
        {RefusalReason::kQueueFull, Ran::kNo, std::chrono::microseconds(1500), "full", ""}, "", RequestId("r")};
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"refusal":{"detail":"full","ran":"no","reason":"queue_full",)"
                                     R"("retry_after_ms":2},"request_id":"r"})"),
                         write_refusal(refusal));
  }

  // Guards against a refusal reason that is mapped to a status which the protocol does not document.
  void maps_every_reason_to_a_documented_status() {
    const std::set<int> statuses = {400, 404, 409, 413, 429, 503, 504};
    for (std::size_t index = 0; index < kRefusalReasonCount; ++index) {
      CPPUNIT_ASSERT(statuses.contains(http_status(static_cast<RefusalReason>(index))));
    }
    CPPUNIT_ASSERT_EQUAL(413, http_status(RefusalReason::kBodyTooLarge));
    CPPUNIT_ASSERT_EQUAL(429, http_status(RefusalReason::kQueueFull));
    CPPUNIT_ASSERT_EQUAL(504, http_status(RefusalReason::kQueueDeadline));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestJsonTest);

}  // namespace

}  // namespace teaselrudder
