#include "core/session/session_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace teaselrudder {

namespace {

const ServiceName kService("rooms");
const GroupId kGroup("ripening");

class SessionTokenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTokenTest);
  CPPUNIT_TEST(round_trips_every_position);
  CPPUNIT_TEST(rejects_every_single_byte_change);
  CPPUNIT_TEST(rejects_truncated_tokens_and_other_services);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a token from which the session's position cannot be fully restored.
  void round_trips_every_position() {
    const bool holds = rc::check([this](std::uint64_t term, std::uint64_t position, bool uncertain) {
      const SessionPosition session{{Term(term), LogPosition(position)}, uncertain};
      RC_ASSERT(m_codec.decode(m_codec.encode(kService, kGroup, session), kService, kGroup).value() == session);
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against accepting an altered token, which could move a session back and let it read stale data.
  void rejects_every_single_byte_change() {
    const std::string token = m_codec.encode(kService, kGroup, {{Term(7), LogPosition(4096)}, false});
    for (std::size_t index = 0; index < token.size(); ++index) {
      std::string altered = token;
      altered[index] = altered[index] == '1' ? '2' : '1';
      CPPUNIT_ASSERT(!m_codec.decode(altered, kService, kGroup).has_value());
    }
  }

  // Guards against reading past the end of a truncated token, and against using a token for another service.
  void rejects_truncated_tokens_and_other_services() {
    const std::string token = m_codec.encode(kService, kGroup, {{Term(7), LogPosition(4096)}, false});
    for (std::size_t length = 1; length < token.size(); ++length) {
      CPPUNIT_ASSERT(!m_codec.decode(token.substr(0, length), kService, kGroup).has_value());
    }
    CPPUNIT_ASSERT(m_codec.decode(token, ServiceName("routes"), kGroup).error() == SessionTokenError::kOtherService);
    CPPUNIT_ASSERT(m_codec.decode(std::string(600, 'x'), kService, kGroup).error() == SessionTokenError::kMalformed);
  }

 private:
  SessionTokenCodec m_codec{"test key"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenTest);

}  // namespace

}  // namespace teaselrudder
