#include "main/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "core/config/configuration_json.h"

namespace teaselrudder {

namespace {

const std::string kKey = "0123456789abcdef";

/// A file that is deleted at the end of the test.
class TemporaryFile {
 public:
  TemporaryFile(const std::string& name, const std::string& content)
      : m_path((std::filesystem::temp_directory_path() / ("teaselrudder_settings_test_" + name)).string()) {
    std::ofstream(m_path) << content;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::filesystem::remove(m_path); }

  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

/// Reads valid settings with `changes` appended and `variables` as the environment. Restores the flags afterwards.
tl::expected<Settings, std::string> read(const std::vector<std::string>& changes,
                                         const std::map<std::string, std::string>& variables = {}) {
  const google::FlagSaver saver;
  std::vector<std::string> arguments = {"--host_id=h1", "--failure_domain=toledo", "--token_key=" + kKey,
                                        "--store_endpoints=10.0.0.1:2379"};
  arguments.insert(arguments.end(), changes.begin(), changes.end());
  return read_settings(arguments, [&variables](const std::string& name) {
    const auto found = variables.find(name);
    return found == variables.end() ? std::nullopt : std::optional<std::string>(found->second);
  });
}

/// Asserts that a value is rejected with a message that contains the flag, the value and the allowed values.
void assert_error_names_value(const std::string& flag, const std::string& value) {
  std::string argument = "--";
  argument.append(flag).append("=").append(value);
  const auto settings = read({argument});
  CPPUNIT_ASSERT_MESSAGE(argument, !settings.has_value());
  std::string expected_start = "--";
  expected_start.append(flag).append(": '").append(value).append("'");
  CPPUNIT_ASSERT_MESSAGE(settings.error(), settings.error().find(expected_start) != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(settings.error(), settings.error().find("expected") != std::string::npos);
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(defaults_are_valid);
  CPPUNIT_TEST(every_bad_value_is_named_in_its_error);
  CPPUNIT_TEST(all_errors_are_reported_at_once);
  CPPUNIT_TEST(command_line_takes_precedence_over_environment);
  CPPUNIT_TEST(secrets_come_from_files_and_stay_out_of_messages);
  CPPUNIT_TEST(configuration_comes_from_one_source);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a default that the validation rejects or that differs from the design.
  void defaults_are_valid() {
    const Settings settings = read({}).value();
    CPPUNIT_ASSERT(settings.host_id == HostId("h1"));
    CPPUNIT_ASSERT(settings.caller == (Endpoint{"127.0.0.1", 0}));
    CPPUNIT_ASSERT(settings.probe_interval == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(settings.probe_timeout == std::chrono::milliseconds(400));
    CPPUNIT_ASSERT(settings.suspicion == std::chrono::milliseconds(750));
    CPPUNIT_ASSERT(settings.replica_wait == std::chrono::milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, settings.max_queue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1048576}, settings.max_body_bytes);
    const Settings changed = read({"--peer_port", "7000", "--static_hosts=10.0.0.2:7000,[::1]:7001"}).value();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7000}, changed.peer.port);
    CPPUNIT_ASSERT(changed.static_hosts[1] == (Endpoint{"::1", 7001}));
  }

  // Guards against a daemon that starts with an invalid value, and against error messages that do not name the value.
  void every_bad_value_is_named_in_its_error() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"host_id", ""},
        {"host_id", "a b"},
        {"failure_domain", std::string(65, 'x')},
        {"listen_ip", "localhost"},
        {"listen_ip", "0.0.0.0"},
        {"caller_port", "-1"},
        {"caller_port", "65536"},
        {"peer_port", "http"},
        {"operator_port", "99999999999"},
        {"store_endpoints", "10.0.0.1"},
        {"store_endpoints", "10.0.0.1:0"},
        {"store_endpoints", "10.0.0.1:2379,"},
        {"store_prefix", "teaselrudder"},
        {"config_file", "/absent/file"},
        {"static_hosts", "host:1"},
        {"static_hosts", "::1:7000"},
        {"token_key_file", "/absent/file"},
        {"database_name", ""},
        {"database_user", std::string(64, 'u')},
        {"database_password_file", "/absent/file"},
        {"charts_dir", "/absent/folder"},
        {"probe_interval_ms", "9"},
        {"probe_interval_ms", "0x"},
        {"probe_timeout_ms", "751"},
        {"suspicion_ms", "499"},
        {"replica_wait_ms", "10001"},
        {"max_queue", "0"},
        {"max_body_bytes", "1023"},
        {"stop_timeout_ms", "600001"},
        {"log_level", "loud"},
    };
    for (const auto& [flag, value] : cases) {
      assert_error_names_value(flag, value);
    }
    CPPUNIT_ASSERT(!read({"--no_such_flag=1"}).has_value());
    CPPUNIT_ASSERT(!read({"argument"}).has_value());
    CPPUNIT_ASSERT(!read({"--max_queue"}).has_value());
    CPPUNIT_ASSERT(!read({"--caller_port=80", "--operator_port=80"}).has_value());
  }

  // Guards against validation that stops at the first error, so that each start of the daemon reveals only one.
  void all_errors_are_reported_at_once() {
    const std::string error = read({"--host_id=", "--max_queue=0"}).error();
    CPPUNIT_ASSERT_EQUAL(std::string("--max_queue: '0' is not allowed; expected an integer from 1 to 100000\n"
                                     "--host_id: '' is not allowed; expected 1 to 64 letters, digits, '_', '-' and "
                                     "'.'"),
                         error);
  }

  // Guards against an environment variable that overrides a flag on the command line.
  void command_line_takes_precedence_over_environment() {
    const std::map<std::string, std::string> variables = {{"TEASELRUDDER_MAX_QUEUE", "7"},
                                                          {"TEASELRUDDER_HOST_ID", "other"}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, read({}, variables)->max_queue);
    CPPUNIT_ASSERT(read({}, variables)->host_id == HostId("h1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, read({"--max_queue=8"}, variables)->max_queue);
    const std::string error = read({}, {{"TEASELRUDDER_MAX_QUEUE", "many"}}).error();
    CPPUNIT_ASSERT(error.find("TEASELRUDDER_MAX_QUEUE") != std::string::npos);
  }

  // Guards against a key that appears in a log or in the process list, and against a trailing line break in a file that
  // becomes part of the key.
  void secrets_come_from_files_and_stay_out_of_messages() {
    const TemporaryFile key("key", kKey + "\n");
    const TemporaryFile password("password", "secret\n");
    const auto settings =
        read({"--token_key=", "--token_key_file=" + key.path(), "--database_password_file=" + password.path()});
    CPPUNIT_ASSERT_EQUAL(kKey, settings->token_key);
    CPPUNIT_ASSERT_EQUAL(std::string("secret"), settings->database_password);
    CPPUNIT_ASSERT(!read({"--token_key_file=" + key.path()}).has_value());
    const std::string error = read({"--token_key=short"}).error();
    CPPUNIT_ASSERT(error.find("--token_key") == 0);
    CPPUNIT_ASSERT(error.find("short") == std::string::npos);
  }

  // Guards against a host that uses a different configuration than the other hosts.
  void configuration_comes_from_one_source() {
    CPPUNIT_ASSERT(!read({"--store_endpoints="}).has_value());
    const TemporaryFile bad("bad.json", "{");
    const auto refused = read({"--store_endpoints=", "--config_file=" + bad.path()});
    CPPUNIT_ASSERT(refused.error().find("--config_file: '" + bad.path()) != std::string::npos);
    Configuration configuration;
    configuration.version = ConfigurationVersion(3);
    configuration.change_id = "c";
    const TemporaryFile good("good.json", configuration_to_json(configuration));
    const auto settings = read({"--store_endpoints=", "--config_file=" + good.path()});
    CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error(), settings.has_value());
    CPPUNIT_ASSERT(settings->configuration->version == ConfigurationVersion(3));
    CPPUNIT_ASSERT(!read({"--config_file=" + good.path()}).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace

}  // namespace teaselrudder
