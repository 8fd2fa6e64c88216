#include "drivers/rpc/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstring>
#include <limits>

namespace teaselrudder {

namespace {

std::string random_text(std::size_t shortest, std::size_t longest) {
  const auto length = *rc::gen::inRange<std::size_t>(shortest, longest + 1);
  return *rc::gen::container<std::string>(length, rc::gen::arbitrary<char>());
}

std::string random_name() { return random_text(1, 64); }

std::vector<std::optional<std::string>> random_values() {
  std::vector<std::optional<std::string>> values;
  for (const auto& text : *rc::gen::arbitrary<std::vector<std::string>>()) {
    values.push_back(text.size() % 3 == 1 ? std::nullopt : std::optional(text));
  }
  return values;
}

template <typename Enum>
Enum random_enum(Enum last) {
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

Term random_term() { return Term(*rc::gen::arbitrary<std::uint64_t>() & kMaxPeerTerm); }

SessionPosition random_session() {
  const Term term = random_term();
  const std::uint64_t position = term.value() == 0 ? 0 : *rc::gen::arbitrary<std::uint64_t>();
  return {{term, LogPosition(position)}, *rc::gen::arbitrary<bool>()};
}

RequestEnvelope random_envelope() {
  RequestEnvelope envelope;
  envelope.service = ServiceName(random_name());
  envelope.group = GroupId(random_name());
  for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
    envelope.statements.push_back({random_text(0, 200), random_values()});
  }
  envelope.step = random_enum(TransactionStep::kRollback);
  envelope.transaction = TransactionHandle(random_text(1, kMaxPeerHandleLength));
  envelope.session = random_session();
  envelope.freshness = random_enum(Freshness::kMaxAge);
  envelope.max_age = Duration(*rc::gen::inRange<std::int64_t>(0, 86'400'000'000));
  envelope.urgency = random_enum(Urgency::kBackground);
  envelope.remaining = Duration(*rc::gen::inRange<std::int64_t>(0, 600'000'000));
  envelope.idempotent = *rc::gen::arbitrary<bool>();
  envelope.read_only = *rc::gen::arbitrary<bool>();
  envelope.request_id = RequestId(random_text(0, kMaxPeerHandleLength));
  envelope.hops = *rc::gen::inRange<std::uint32_t>(0, kMaxPeerHops + 1);
  if (*rc::gen::arbitrary<bool>()) {
    envelope.target = MemberId(random_name());
  }
  envelope.term = random_term();
  return envelope;
}

RequestOutcome random_outcome() {
  if (*rc::gen::arbitrary<bool>()) {
    Refusal refusal{random_enum(RefusalReason::kInternal), random_enum(Ran::kUnknown), std::nullopt,
                    random_text(0, 100), random_text(0, 5)};
    if (*rc::gen::arbitrary<bool>()) {
      refusal.retry_after = Duration(*rc::gen::inRange<std::int64_t>(0, 600'000'000));
    }
    return tl::unexpected(RefusedRequest{refusal, random_session()});
  }
  RequestAnswer answer;
  for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
    answer.results.push_back({*rc::gen::arbitrary<std::vector<std::string>>(), {random_values(), random_values()}, 7});
  }
  answer.session = random_session();
  answer.request_id = RequestId(random_text(0, kMaxPeerHandleLength));
  answer.served_by = MemberId(random_name());
  answer.by_primary = *rc::gen::arbitrary<bool>();
  answer.transaction = TransactionHandle(random_text(0, kMaxPeerHandleLength));
  return answer;
}

HostRecord random_host() {
  const Endpoint endpoint{*rc::gen::element<std::string>("10.0.0.1", "fd00::7"),
                          static_cast<std::uint16_t>(*rc::gen::inRange(1, 65536))};
  return {HostId(random_name()), FailureDomainId(random_name()), endpoint,
          Incarnation(*rc::gen::arbitrary<std::uint64_t>()), random_enum(HostState::kDead)};
}

// Decodes the message in `builder` and returns the kind of the error, or nothing if the message is valid.
template <typename Builder>
std::optional<PeerCodecErrorKind> find_error_kind(Builder builder) {
  const auto decoded = decode_message(builder.asReader());
  return decoded.has_value() ? std::nullopt : std::optional(decoded.error().kind);
}

rpc::RequestEnvelope::Builder valid_request(capnp::MallocMessageBuilder& message) {
  RequestEnvelope envelope;
  envelope.service = ServiceName("rooms");
  envelope.group = GroupId("orders");
  envelope.statements = {{"SELECT $1", {"x", std::nullopt}}};
  auto root = message.initRoot<rpc::RequestEnvelope>();
  encode_message(envelope, root);
  return root;
}

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(round_trips_requests);
  CPPUNIT_TEST(round_trips_outcomes);
  CPPUNIT_TEST(round_trips_probes);
  CPPUNIT_TEST(rejects_each_invalid_field);
  CPPUNIT_TEST(rejects_invalid_hosts_and_answers);
  CPPUNIT_TEST(survives_altered_bytes);
  CPPUNIT_TEST(truncates_long_details);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request field that is lost or swapped in encoding, which could run a write in the wrong term.
  void round_trips_requests() {
    CPPUNIT_ASSERT(rc::check([] {
      const RequestEnvelope envelope = random_envelope();
      capnp::MallocMessageBuilder message;
      auto root = message.initRoot<rpc::RequestEnvelope>();
      encode_message(envelope, root);
      const auto decoded = decode_message(root.asReader());
      RC_ASSERT(decoded.has_value());
      const bool same = std::get<SubmitRequest>(*decoded).envelope == envelope;
      RC_ASSERT(same);
    }));
  }

  // Guards against an outcome that changes in encoding, for example a refusal with another value of `ran`.
  void round_trips_outcomes() {
    CPPUNIT_ASSERT(rc::check([] {
      const RequestOutcome outcome = random_outcome();
      capnp::MallocMessageBuilder message;
      auto root = message.initRoot<rpc::AnswerEnvelope>();
      encode_message(SubmitReply{outcome}, root);
      const auto decoded = decode_message(root.asReader());
      RC_ASSERT(decoded.has_value());
      const bool same = std::get<SubmitReply>(*decoded).outcome == outcome;
      RC_ASSERT(same);
    }));
  }

  // Guards against host states that differ between sender and receiver.
  void round_trips_probes() {
    CPPUNIT_ASSERT(rc::check([] {
      const Probe probe{
          random_host(), ConfigurationVersion(*rc::gen::arbitrary<std::uint64_t>()), {random_host(), random_host()}};
      capnp::MallocMessageBuilder message;
      auto root = message.initRoot<rpc::ProbeMessage>();
      encode_message(probe, root);
      const auto decoded = decode_message(root.asReader());
      RC_ASSERT(decoded.has_value());
      const Probe& read = std::get<Probe>(*decoded);
      const bool same = read.sender == probe.sender && read.records == probe.records &&
                        read.configuration_version == probe.configuration_version;
      RC_ASSERT(same);
    }));
  }

  // Guards against invalid values from a peer that is faulty or has another version, which would be used in decisions.
  void rejects_each_invalid_field() {
    using Kind = PeerCodecErrorKind;
    const auto kind_after = [](auto change) {
      capnp::MallocMessageBuilder message;
      auto request = valid_request(message);
      change(request);
      return find_error_kind(request);
    };
    CPPUNIT_ASSERT(!kind_after([](auto) {}).has_value());
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setService(std::string(65, 'x')); }) == Kind::kInvalidText);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setService(""); }) == Kind::kInvalidText);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setTarget(std::string(65, 'x')); }) == Kind::kInvalidText);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setStep(static_cast<rpc::TransactionStep>(5)); }) == Kind::kUnknownValue);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setFreshness(static_cast<rpc::Freshness>(3)); }) == Kind::kUnknownValue);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setUrgency(static_cast<rpc::Urgency>(99)); }) == Kind::kUnknownValue);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setTerm(kMaxPeerTerm + 1); }) == Kind::kInvalidTerm);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.getSession().setPosition(5); }) == Kind::kInvalidTerm);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.initStatements(kMaxPeerStatements + 1); }) == Kind::kListTooLong);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setRemainingMicros(-1); }) == Kind::kOutOfRange);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setHops(kMaxPeerHops + 1); }) == Kind::kOutOfRange);
    CPPUNIT_ASSERT(kind_after([](auto r) { r.setStep(rpc::TransactionStep::COMMIT); }) == Kind::kInvalidText);
  }

  // Guards against addresses that cannot be connected to, and against refusal reasons that this version does not know.
  void rejects_invalid_hosts_and_answers() {
    capnp::MallocMessageBuilder message;
    auto probe = message.initRoot<rpc::ProbeMessage>();
    const HostRecord host{HostId("h"), FailureDomainId("d"), {"host.example", 1}, Incarnation(1), HostState::kAlive};
    encode_message(Probe{host, ConfigurationVersion(1), {}}, probe);
    CPPUNIT_ASSERT(find_error_kind(probe) == PeerCodecErrorKind::kInvalidText);
    probe.getSender().setIp("10.0.0.1");
    CPPUNIT_ASSERT(!find_error_kind(probe).has_value());
    probe.initRecords(kMaxPeerHostRecords + 1);
    CPPUNIT_ASSERT(find_error_kind(probe) == PeerCodecErrorKind::kListTooLong);

    capnp::MallocMessageBuilder other;
    auto answer = other.initRoot<rpc::AnswerEnvelope>();
    answer.initRefusal().setReason("no_such_reason");
    CPPUNIT_ASSERT(find_error_kind(answer) == PeerCodecErrorKind::kUnknownValue);
  }

  // Guards against a crash or an exception when a message with altered bytes is decoded.
  void survives_altered_bytes() {
    CPPUNIT_ASSERT(rc::check([] {
      capnp::MallocMessageBuilder message;
      encode_message(random_envelope(), message.initRoot<rpc::RequestEnvelope>());
      kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
      auto bytes = words.asBytes();
      for (int count = 0; count < 4; ++count) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<kj::byte>(*rc::gen::inRange(0, 256));
      }
      const auto length = *rc::gen::inRange<std::size_t>(1, words.size() + 1);
      try {
        capnp::FlatArrayMessageReader reader(words.slice(0, length));
        decode_message(reader.getRoot<rpc::RequestEnvelope>());
      } catch (const kj::Exception&) {
        // The altered bytes are in the framing. The RPC system detects this before it calls the codec.
        return;
      }
    }));
  }

  // Guards against a refusal with a detail above the limit: the receiver would reject the whole message, and the sender
  // of the request would have to treat `ran: no` as an unknown outcome.
  void truncates_long_details() {
    const std::string detail = std::string(kMaxPeerDetailLength - 1, 'x') + "\xc3\xa9";
    const Refusal refusal{RefusalReason::kQueueFull, Ran::kNo, std::nullopt, detail, ""};
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<rpc::AnswerEnvelope>();
    encode_message(SubmitReply{tl::unexpected(RefusedRequest{refusal, {}})}, root);
    const auto decoded = decode_message(root.asReader());
    CPPUNIT_ASSERT(decoded.has_value());
    const RefusedRequest& read = std::get<SubmitReply>(*decoded).outcome.error();
    CPPUNIT_ASSERT(read.refusal.ran == Ran::kNo);
    CPPUNIT_ASSERT_EQUAL(std::string(kMaxPeerDetailLength - 1, 'x'), read.refusal.detail);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

}  // namespace

}  // namespace teaselrudder
