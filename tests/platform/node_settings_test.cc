#include "platform/node_settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace teaselrudder::platform {

namespace {

const std::string kSettings =
    "node: \"front-1\"\nzone: \"toledo-dc\"\nip: \"10.1.0.8\"\nnew_field: [1, 2]\n"
    "listen:\n  front: \"10.1.0.8:8784\"\n  ready: \"10.1.0.8:8785\"\nport_range:\n  - 7440\n  - 7455\n"
    "limits:\n  max_fds: 4300\nbounds:\n  grace_s: 6\n  require_fence: true\n"
    "platform:\n  addr: \"10.200.1.7:8783\"\n  ttl_min_ms: 1000\ncloud:\n  addr: \"10.200.0.160:8783\"\n";

std::string replaced(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(reads_settings_and_ignores_unknown_fields);
  CPPUNIT_TEST(errors_name_the_invalid_field);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that does not start because the platform added a field to the settings file.
  void reads_settings_and_ignores_unknown_fields() {
    const auto settings = parse_node_settings(kSettings);
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(settings->host == HostId("front-1") && settings->domain == FailureDomainId("toledo-dc"));
    CPPUNIT_ASSERT((settings->evidence == Endpoint{"10.1.0.8", 7440}));
    CPPUNIT_ASSERT(settings->stop_grace == std::chrono::seconds(6));
    CPPUNIT_ASSERT(settings->promotion_tokens_are_checked);
    CPPUNIT_ASSERT(!parse_node_settings(replaced("  require_fence: true\n", ""))->promotion_tokens_are_checked);
    CPPUNIT_ASSERT(settings->configuration_bound == std::chrono::seconds(3));
    const auto larger = parse_node_settings(replaced("grace_s: 6", "grace_s: 6\n  config_apply_ms: 6000"));
    CPPUNIT_ASSERT(larger->configuration_bound == std::chrono::seconds(6));
    CPPUNIT_ASSERT(to_text(*settings).find("stop_grace_ms=6000\n") != std::string::npos);
  }

  // Guards against invalid settings that are not detected at the start but only when they are first used.
  void errors_name_the_invalid_field() {
    const auto expect_error = [](const std::string& text, const std::string& field) {
      const auto settings = parse_node_settings(text);
      CPPUNIT_ASSERT_MESSAGE(field, !settings.has_value());
      CPPUNIT_ASSERT_MESSAGE(settings.error(), settings.error().find(field) != std::string::npos);
    };
    expect_error(replaced("grace_s: 6", "grace_s: 0"), "bounds.grace_s");
    expect_error(replaced("grace_s: 6", "grace_s: 6\n  config_apply_ms: soon"), "bounds.config_apply_ms");
    expect_error(replaced("require_fence: true", "require_fence: perhaps"), "bounds.require_fence");
    expect_error(replaced("10.200.1.7:8783", "store"), "platform.addr");
    expect_error(replaced("node: \"front-1\"\n", ""), "node");
    expect_error(replaced("  - 7440\n  - 7455\n", "  - 0\n"), "port_range");
    expect_error(replaced("max_fds: 4300", "max_fds: many"), "limits.max_fds");
    expect_error("- 1", "not a YAML map");
    expect_error("a: [", "not valid YAML");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

}  // namespace

}  // namespace teaselrudder::platform
