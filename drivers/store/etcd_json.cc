#include "drivers/store/etcd_json.h"

#include <array>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "core/config/configuration.h"
#include "drivers/net/socket_address.h"
#include "drivers/store/base64.h"

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

constexpr std::array kHostStates = {HostState::kAlive, HostState::kSuspect, HostState::kLeaving, HostState::kDead};

std::string_view host_state_name(HostState state) {
  switch (state) {
    case HostState::kAlive:
      return "alive";
    case HostState::kSuspect:
      return "suspect";
    case HostState::kLeaving:
      return "leaving";
    case HostState::kDead:
      return "dead";
  }
  return "dead";
}

template <typename Value, typename Read>
tl::expected<Value, std::string> parse_checked(std::string_view text, Read read) {
  if (text.size() > kMaxStoreAnswerBytes) {
    return tl::unexpected(std::string("the response is too large"));
  }
  try {
    return Value(read(Json::parse(text)));
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

// Reads a signed 64-bit number. etcd's JSON encoding writes such numbers as strings and omits a number that is zero.
std::int64_t read_number(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return 0;
  }
  constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
  if (found->is_number_integer() && (!found->is_number_unsigned() || found->get<std::uint64_t>() <= kMaxNumber)) {
    return found->get<std::int64_t>();
  }
  // Writing a value of another type out as text would recurse as deep as the value nests.
  const std::string text = found->is_string() ? found->get<std::string>() : std::string();
  std::int64_t number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    throw std::out_of_range(std::string("field '") + field + "' is not a 64-bit number");
  }
  return number;
}

// Every response contains the store's revision, which is at least 1. A response without it has an unexpected format.
StoreRevision read_revision(const Json& answer) {
  const std::int64_t revision = read_number(answer.at("header"), "revision");
  if (revision < 1) {
    throw std::out_of_range("the response contains no revision of the store");
  }
  return StoreRevision(revision);
}

bool read_flag(const Json& object, const char* field) {
  const auto found = object.find(field);
  return found != object.end() && found->get<bool>();
}

std::string read_base64(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return {};
  }
  const auto bytes = base64_decode(found->get_ref<const std::string&>());
  if (!bytes.has_value()) {
    throw std::out_of_range(std::string("field '") + field + "' is not base64");
  }
  return *bytes;
}

void check_key(const Json& entry, std::string_view key) {
  if (read_base64(entry, "key") != key) {
    throw std::out_of_range("the response is about another key");
  }
}

StoreValue read_entry(const Json& entry, std::string_view key, StoreRevision current) {
  check_key(entry, key);
  const std::int64_t modified = read_number(entry, "mod_revision");
  if (modified < 1 || modified > current.value()) {
    throw std::out_of_range("the revision of the key is not between 1 and the revision of the store");
  }
  return {read_base64(entry, "value"), StoreRevision(modified), current};
}

StoreValue read_range(const Json& answer, std::string_view key, StoreRevision current) {
  const auto entries = answer.find("kvs");
  if (entries == answer.end() || entries->empty()) {
    return {std::nullopt, StoreRevision(0), current};
  }
  if (!entries->is_array() || entries->size() != 1) {
    throw std::out_of_range("the response does not contain exactly one entry");
  }
  return read_entry(entries->front(), key, current);
}

CompareAndSwapResult read_compare_and_swap(const Json& answer, std::string_view key, std::string_view value) {
  const StoreRevision current = read_revision(answer);
  const Json& response = answer.at("responses").at(0);
  if (read_flag(answer, "succeeded")) {
    response.at("response_put");
    return {true, {std::string(value), current, current}};
  }
  return {false, read_range(response.at("response_range"), key, current)};
}

StoreValue read_event(const Json& event, std::string_view key, StoreRevision current) {
  const Json& entry = event.at("kv");
  const std::string type = event.value("type", "PUT");
  if (type == "PUT") {
    return read_entry(entry, key, current);
  }
  if (type != "DELETE") {
    throw std::out_of_range("the watch event has an unknown type");
  }
  check_key(entry, key);
  return {std::nullopt, StoreRevision(0), current};
}

WatchMessage read_watch(const Json& line, std::string_view key) {
  const Json& result = line.at("result");
  WatchMessage message;
  message.created = read_flag(result, "created");
  message.cancelled = read_flag(result, "canceled");
  if (message.cancelled) {
    return message;
  }
  const StoreRevision current = read_revision(result);
  const auto events = result.find("events");
  if (events == result.end()) {
    return message;
  }
  for (const Json& event : *events) {
    message.changes.push_back(read_event(event, key, current));
  }
  return message;
}

std::string read_name(const Json& entry, const char* field) {
  std::string name = entry.at(field).get<std::string>();
  if (name.empty() || name.size() > kMaxNameLength) {
    throw std::out_of_range(std::string("field '") + field + "' is empty or too long");
  }
  return name;
}

HostState read_state(const Json& entry) {
  const std::string name = entry.at("state").get<std::string>();
  for (const HostState state : kHostStates) {
    if (host_state_name(state) == name) {
      return state;
    }
  }
  throw std::out_of_range("unknown host state '" + name + "'");
}

std::uint64_t read_unsigned(const Json& entry, const char* field, std::uint64_t limit) {
  const Json& value = entry.at(field);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit) {
    throw std::out_of_range(std::string("field '") + field + "' is not an unsigned number in the valid range");
  }
  return value.get<std::uint64_t>();
}

HostRecord read_host(const Json& entry) {
  HostRecord record;
  record.host = HostId(read_name(entry, "host"));
  record.failure_domain = FailureDomainId(read_name(entry, "failure_domain"));
  record.peer_endpoint.ip = entry.at("ip").get<std::string>();
  record.peer_endpoint.port =
      static_cast<std::uint16_t>(read_unsigned(entry, "port", std::numeric_limits<std::uint16_t>::max()));
  if (record.peer_endpoint.port == 0 || !to_socket_address(record.peer_endpoint).has_value()) {
    throw std::out_of_range("host '" + record.host.value() + "' has no valid IP address and port");
  }
  const std::uint64_t incarnation = read_unsigned(entry, "incarnation", std::numeric_limits<std::uint64_t>::max());
  record.incarnation = Incarnation(incarnation);
  record.state = read_state(entry);
  return record;
}

std::vector<HostRecord> read_hosts(const Json& document) {
  if (!document.is_array() || document.size() > kMaxHostListEntries) {
    throw std::out_of_range("the host list is not an array or has too many entries");
  }
  std::vector<HostRecord> hosts;
  std::set<HostId> names;
  for (const Json& entry : document) {
    hosts.push_back(read_host(entry));
    if (!names.insert(hosts.back().host).second) {
      throw std::out_of_range("host '" + hosts.back().host.value() + "' appears twice");
    }
  }
  return hosts;
}

}  // namespace

std::string encode_range(std::string_view key) { return Json{{"key", base64_encode(key)}}.dump(); }

std::string encode_compare_and_swap(std::string_view key, StoreRevision expected, std::string_view value) {
  const std::string wire_key = base64_encode(key);
  const Json compare = {
      {"key", wire_key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(expected.value())}};
  const Json put = {{"request_put", {{"key", wire_key}, {"value", base64_encode(value)}}}};
  const Json range = {{"request_range", {{"key", wire_key}}}};
  return Json{{"compare", Json::array({compare})}, {"success", Json::array({put})}, {"failure", Json::array({range})}}
      .dump();
}

std::string encode_watch(std::string_view key, StoreRevision from) {
  const Json create = {{"key", base64_encode(key)}, {"start_revision", std::to_string(from.value())}};
  return Json{{"create_request", create}}.dump();
}

tl::expected<StoreValue, std::string> decode_range(std::string_view body, std::string_view key) {
  return parse_checked<StoreValue>(
      body, [key](const Json& answer) { return read_range(answer, key, read_revision(answer)); });
}

tl::expected<CompareAndSwapResult, std::string> decode_compare_and_swap(std::string_view body, std::string_view key,
                                                                        std::string_view value) {
  return parse_checked<CompareAndSwapResult>(
      body, [key, value](const Json& answer) { return read_compare_and_swap(answer, key, value); });
}

tl::expected<WatchMessage, std::string> decode_watch_line(std::string_view line, std::string_view key) {
  return parse_checked<WatchMessage>(line, [key](const Json& message) { return read_watch(message, key); });
}

tl::expected<std::vector<HostRecord>, std::string> decode_host_list(std::string_view document) {
  return parse_checked<std::vector<HostRecord>>(document, [](const Json& json) { return read_hosts(json); });
}

std::string encode_host_list(const std::vector<HostRecord>& hosts) {
  Json list = Json::array();
  for (const HostRecord& record : hosts) {
    list.push_back({{"host", record.host.value()},
                    {"failure_domain", record.failure_domain.value()},
                    {"ip", record.peer_endpoint.ip},
                    {"port", record.peer_endpoint.port},
                    {"incarnation", record.incarnation.value()},
                    {"state", host_state_name(record.state)}});
  }
  return list.dump();
}

}  // namespace teaselrudder
