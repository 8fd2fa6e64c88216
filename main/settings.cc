#include "main/settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

#include "core/config/configuration_json.h"
#include "main/endpoint_text.h"

DEFINE_string(host_id, "", "name of this host, unique among all hosts");
DEFINE_string(failure_domain, "", "failure domain of this host");
DEFINE_string(listen_ip, "127.0.0.1", "IP address to listen on, at which other hosts can reach this host");
DEFINE_int32(caller_port, 0, "port for callers; 0 chooses a free one");
DEFINE_int32(peer_port, 0, "port for other hosts; 0 chooses a free one");
DEFINE_int32(operator_port, 0, "port for operators; 0 chooses a free one");
DEFINE_string(store_endpoints, "", "addresses of the platform's store");
DEFINE_string(store_prefix, "/teaselrudder/", "prefix of this system's keys in the store");
DEFINE_string(config_file, "", "file with the JSON configuration to use instead of the one in the store");
DEFINE_string(static_hosts, "", "peer addresses of other hosts to contact at start");
DEFINE_string(token_key, "", "key of the session tokens, the same on all hosts");
DEFINE_string(token_key_file, "", "file with the key of the session tokens");
DEFINE_string(database_name, "postgres", "name of the database on each member");
DEFINE_string(database_user, "teaselrudder", "name of the database user");
DEFINE_string(database_password_file, "", "file with the password of the database user; empty for none");
DEFINE_string(charts_dir, "", "directory of the state charts; empty for the compiled-in ones");
DEFINE_int32(probe_interval_ms, 250, "time between two probes of a member");
DEFINE_int32(probe_timeout_ms, 400, "time after which a probe counts as failed");
DEFINE_int32(suspicion_ms, 750, "time without a report after which a member is suspected");
DEFINE_int32(replica_wait_ms, 30, "time that a read waits for a replica to catch up");
DEFINE_int32(max_queue, 512, "maximum number of requests that wait for one member");
DEFINE_int32(max_body_bytes, 1048576, "maximum size of the body of a caller's request");
DEFINE_int32(stop_timeout_ms, 30000, "maximum duration of a graceful stop");
DEFINE_string(log_level, "info", "least severe level that is logged");

namespace teaselrudder {

namespace {

/// Shorter keys can be guessed.
constexpr std::size_t kMinTokenKeyBytes = 16;
constexpr std::size_t kMaxTokenKeyBytes = 4096;
/// PostgreSQL truncates longer identifiers.
constexpr std::size_t kMaxIdentifierBytes = 63;

const std::string kNameRule = "1 to 64 letters, digits, '_', '-' and '.'";
const std::string kEndpointsRule = "a list ip:port,ip:port with numeric IP addresses ([ip]:port for IPv6)";
const std::string kAddressRule = "a numeric IP address that other hosts can reach, so not 0.0.0.0 or ::";
const std::string kPrefixRule = "a text that starts and ends with '/'";
const std::string kIdentifierRule = "1 to 63 bytes";
const std::string kKeyRule = "16 to 4096 bytes, in one of --token_key and --token_key_file";
const std::string kFileRule = "a readable file";
const std::string kDirectoryRule = "an existing directory";
const std::string kLevelRule = "debug, info, warning or error";

/// An integer flag and the range of its allowed values.
struct IntegerRule {
  const char* name;
  const std::int32_t* value;
  std::int32_t lowest;
  std::int32_t highest;
};

const std::array<IntegerRule, 10> kIntegerRules = {{
    {"caller_port", &FLAGS_caller_port, 0, 65535},
    {"peer_port", &FLAGS_peer_port, 0, 65535},
    {"operator_port", &FLAGS_operator_port, 0, 65535},
    {"probe_interval_ms", &FLAGS_probe_interval_ms, 10, 60000},
    {"probe_timeout_ms", &FLAGS_probe_timeout_ms, 10, 60000},
    {"suspicion_ms", &FLAGS_suspicion_ms, 20, 600000},
    {"replica_wait_ms", &FLAGS_replica_wait_ms, 0, 10000},
    {"max_queue", &FLAGS_max_queue, 1, 100000},
    // The upper limit ensures that the bodies of all open requests fit into the memory of a host.
    {"max_body_bytes", &FLAGS_max_body_bytes, 1024, 67108864},
    {"stop_timeout_ms", &FLAGS_stop_timeout_ms, 0, 600000},
}};

std::string allowed_range(const IntegerRule& rule) {
  return "an integer from " + std::to_string(rule.lowest) + " to " + std::to_string(rule.highest);
}

std::vector<FlagRule> flag_rules() {
  std::vector<FlagRule> rules = {
      {"host_id", kNameRule},
      {"failure_domain", kNameRule},
      {"listen_ip", kAddressRule},
      {"store_endpoints", kEndpointsRule},
      {"store_prefix", kPrefixRule},
      {"config_file", kFileRule},
      {"static_hosts", kEndpointsRule},
      {"token_key", kKeyRule},
      {"token_key_file", kFileRule},
      {"database_name", kIdentifierRule},
      {"database_user", kIdentifierRule},
      {"database_password_file", kFileRule},
      {"charts_dir", kDirectoryRule},
      {"log_level", kLevelRule},
  };
  for (const IntegerRule& rule : kIntegerRules) {
    rules.push_back({rule.name, allowed_range(rule)});
  }
  return rules;
}

bool is_name(std::string_view text) {
  const auto allowed = [](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' || character == '-' ||
           character == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

bool is_identifier(const std::string& text) { return !text.empty() && text.size() <= kMaxIdentifierBytes; }

/// Validates the flags and collects one error message for each invalid setting.
class SettingsReader {
 public:
  Settings read() {
    check_integers();
    read_identity();
    read_endpoints();
    read_configuration();
    read_token_key();
    read_database();
    read_timings();
    read_other_settings();
    return std::move(m_settings);
  }

  /// Returns the error messages, one per line.
  const std::string& errors() const { return m_errors; }

 private:
  void add_error(const std::string& line) { m_errors += (m_errors.empty() ? "" : "\n") + line; }

  void require(bool holds, const std::string& flag, const std::string& value, const std::string& allowed) {
    if (!holds) {
      add_error(describe_bad_value(flag, value, allowed));
    }
  }

  /// Returns the content of a file. Adds an error if the file cannot be read.
  std::string read_file(const std::string& flag, const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    require(file.good() && std::filesystem::is_regular_file(path), flag, path, kFileRule);
    return content.str();
  }

  /// Returns the content of a file without line breaks at its end, which editors add.
  std::string read_secret(const std::string& flag, const std::string& path) {
    std::string content = read_file(flag, path);
    content.erase(content.find_last_not_of("\r\n") + 1);
    return content;
  }

  void check_integers() {
    for (const IntegerRule& rule : kIntegerRules) {
      const bool in_range = *rule.value >= rule.lowest && *rule.value <= rule.highest;
      require(in_range, rule.name, std::to_string(*rule.value), allowed_range(rule));
    }
  }

  void read_identity() {
    require(is_name(FLAGS_host_id), "host_id", FLAGS_host_id, kNameRule);
    require(is_name(FLAGS_failure_domain), "failure_domain", FLAGS_failure_domain, kNameRule);
    m_settings.host_id = HostId(FLAGS_host_id);
    m_settings.failure_domain = FailureDomainId(FLAGS_failure_domain);
  }

  void read_endpoints() {
    const bool reachable = is_ip_address(FLAGS_listen_ip) && FLAGS_listen_ip != "0.0.0.0" && FLAGS_listen_ip != "::";
    require(reachable, "listen_ip", FLAGS_listen_ip, kAddressRule);
    m_settings.caller = {FLAGS_listen_ip, static_cast<std::uint16_t>(FLAGS_caller_port)};
    m_settings.peer = {FLAGS_listen_ip, static_cast<std::uint16_t>(FLAGS_peer_port)};
    m_settings.operators = {FLAGS_listen_ip, static_cast<std::uint16_t>(FLAGS_operator_port)};
    require_distinct("peer_port", FLAGS_peer_port, FLAGS_caller_port);
    require_distinct("operator_port", FLAGS_operator_port, FLAGS_caller_port);
    require_distinct("operator_port", FLAGS_operator_port, FLAGS_peer_port);
    m_settings.static_hosts = read_list("static_hosts", FLAGS_static_hosts);
    m_settings.store_endpoints = read_list("store_endpoints", FLAGS_store_endpoints);
    const bool is_prefix = FLAGS_store_prefix.starts_with('/') && FLAGS_store_prefix.ends_with('/');
    require(is_prefix, "store_prefix", FLAGS_store_prefix, kPrefixRule);
    m_settings.store_prefix = FLAGS_store_prefix;
  }

  void require_distinct(const std::string& flag, std::int32_t port, std::int32_t other) {
    require(port == 0 || port != other, flag, std::to_string(port), "a port that no other flag names, or 0");
  }

  std::vector<Endpoint> read_list(const std::string& flag, const std::string& value) {
    const auto endpoints = parse_endpoints(value);
    require(endpoints.has_value(), flag, value, kEndpointsRule);
    return endpoints.value_or(std::vector<Endpoint>());
  }

  void read_configuration() {
    if (FLAGS_store_endpoints.empty() == FLAGS_config_file.empty()) {
      add_error("--store_endpoints: '" + FLAGS_store_endpoints + "' with --config_file '" + FLAGS_config_file +
                "' is not allowed; expected exactly one of the two");
    }
    if (FLAGS_config_file.empty()) {
      return;
    }
    const std::string document = read_file("config_file", FLAGS_config_file);
    auto configuration = configuration_from_json(document);
    require(configuration.has_value(), "config_file", FLAGS_config_file,
            "a valid configuration (" + (configuration ? "" : configuration.error()) + ")");
    if (configuration) {
      m_settings.configuration = std::move(*configuration);
    }
  }

  void read_token_key() {
    if (!FLAGS_token_key.empty() && !FLAGS_token_key_file.empty()) {
      add_error(describe_bad_value("token_key_file", FLAGS_token_key_file, kKeyRule));
      return;
    }
    const bool from_file = !FLAGS_token_key_file.empty();
    m_settings.token_key = from_file ? read_secret("token_key_file", FLAGS_token_key_file) : FLAGS_token_key;
    const std::size_t size = m_settings.token_key.size();
    // The message contains the size only, because the key must not be logged.
    require(size >= kMinTokenKeyBytes && size <= kMaxTokenKeyBytes, from_file ? "token_key_file" : "token_key",
            from_file ? FLAGS_token_key_file : "<" + std::to_string(size) + " bytes>", kKeyRule);
  }

  void read_database() {
    require(is_identifier(FLAGS_database_name), "database_name", FLAGS_database_name, kIdentifierRule);
    require(is_identifier(FLAGS_database_user), "database_user", FLAGS_database_user, kIdentifierRule);
    m_settings.database_name = FLAGS_database_name;
    m_settings.database_user = FLAGS_database_user;
    if (!FLAGS_database_password_file.empty()) {
      m_settings.database_password = read_secret("database_password_file", FLAGS_database_password_file);
    }
  }

  void read_timings() {
    // With a shorter suspicion timeout a single missed probe, and so a single lost packet, could start a failover.
    require(FLAGS_suspicion_ms >= 2 * FLAGS_probe_interval_ms, "suspicion_ms", std::to_string(FLAGS_suspicion_ms),
            "at least twice --probe_interval_ms, which is " + std::to_string(FLAGS_probe_interval_ms));
    require(FLAGS_probe_timeout_ms <= FLAGS_suspicion_ms, "probe_timeout_ms", std::to_string(FLAGS_probe_timeout_ms),
            "at most --suspicion_ms, which is " + std::to_string(FLAGS_suspicion_ms));
    m_settings.probe_interval = std::chrono::milliseconds(FLAGS_probe_interval_ms);
    m_settings.probe_timeout = std::chrono::milliseconds(FLAGS_probe_timeout_ms);
    m_settings.suspicion = std::chrono::milliseconds(FLAGS_suspicion_ms);
    m_settings.replica_wait = std::chrono::milliseconds(FLAGS_replica_wait_ms);
    m_settings.stop_timeout = std::chrono::milliseconds(FLAGS_stop_timeout_ms);
  }

  void read_other_settings() {
    const std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
    const bool is_level = std::find(levels.begin(), levels.end(), FLAGS_log_level) != levels.end();
    require(is_level, "log_level", FLAGS_log_level, kLevelRule);
    const bool is_folder = FLAGS_charts_dir.empty() || std::filesystem::is_directory(FLAGS_charts_dir);
    require(is_folder, "charts_dir", FLAGS_charts_dir, kDirectoryRule);
    m_settings.log_level = FLAGS_log_level;
    m_settings.charts_dir = FLAGS_charts_dir;
    m_settings.max_queue = static_cast<std::size_t>(FLAGS_max_queue);
    m_settings.max_body_bytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
  }

  Settings m_settings;
  std::string m_errors;
};

}  // namespace

tl::expected<Settings, std::string> read_settings(const std::vector<std::string>& arguments,
                                                  const Environment& environment) {
  const auto positional = apply_flags(flag_rules(), arguments, environment);
  if (!positional) {
    return tl::unexpected(positional.error());
  }
  if (!positional->empty()) {
    return tl::unexpected("'" + positional->front() + "' is not allowed; expected only flags");
  }
  SettingsReader reader;
  Settings settings = reader.read();
  if (!reader.errors().empty()) {
    return tl::unexpected(reader.errors());
  }
  return settings;
}

std::string settings_usage() { return describe_flags(flag_rules()); }

}  // namespace teaselrudder
