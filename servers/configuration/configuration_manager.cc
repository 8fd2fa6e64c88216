#include "servers/configuration/configuration_manager.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/config/configuration_json.h"
#include "servers/configuration/backoff.h"
#include "servers/membership/rendezvous.h"

namespace teaselrudder {

namespace {

constexpr Duration kMinStoreRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxStoreRetryDelay = std::chrono::seconds(5);
// A watch that failed after at least this time does not count as a consecutive failure for the retry delay.
constexpr Duration kMinHealthyWatchTime = std::chrono::seconds(10);
// First reads are spread randomly over this time, since many hosts can start or become relays at once after a failure.
constexpr Duration kMaxFirstReadDelay = std::chrono::milliseconds(200);

}  // namespace

ConfigurationManager::ConfigurationManager(const ConfigurationContext& context, ConfigurationSink& sink, TimePoint now)
    : m_context(context),
      m_key(context.store_prefix + "/configuration"),
      m_sink(sink),
      m_random(context.random_seed),
      m_changes(m_key, context.hosts.self().host, context.hosts.self().incarnation, context.chart, context.store,
                context.ids, m_budget, *this, m_random.next()) {
  schedule_read(kMaxFirstReadDelay, now);
}

bool ConfigurationManager::adopt(const Configuration& configuration, const std::string& source, TimePoint now) {
  if (configuration.version < m_current.version) {
    m_context.counters.count("configurations_older_ignored");
  }
  // A version is never replaced by a lower or equal one, whatever its source.
  if (configuration.version <= m_current.version) {
    return false;
  }
  m_current = configuration;
  m_context.counters.count("configurations_adopted");
  m_sink.configuration_adopted(m_current, source, now);
  announce(source);
  return true;
}

tl::expected<ChangeNumber, ChangeError> ConfigurationManager::change(Configuration proposed, TimePoint now) {
  return m_changes.start(std::move(proposed), now);
}

void ConfigurationManager::on_peer_version(const HostId& host, ConfigurationVersion version) {
  if (m_context.hosts.find(host) == nullptr) {
    return;
  }
  m_peer_versions[host] = PeerVersion{version, true};
  fetch_newest();
}

void ConfigurationManager::on_peer_configuration(const HostId& host, const ConfigurationReply* reply, TimePoint now) {
  m_fetching = false;
  // Do not ask this host again until it reports a version, so that an invalid answer does not cause a loop.
  m_peer_versions[host].fetchable = false;
  if (reply != nullptr && !reply->document.empty()) {
    const std::string source = "host " + host.value();
    if (const auto configuration = parse(reply->document, source)) {
      adopt(*configuration, source, now);
    }
  }
  fetch_newest();
}

void ConfigurationManager::on_hosts_changed(TimePoint now) {
  std::erase_if(m_peer_versions, [this](const auto& entry) { return m_context.hosts.find(entry.first) == nullptr; });
  const std::vector<HostId> relays = relays_of(m_context.hosts.self().failure_domain);
  const bool is_relay = std::find(relays.begin(), relays.end(), m_context.hosts.self().host) != relays.end();
  if (is_relay == m_is_relay) {
    return;
  }
  m_is_relay = is_relay;
  if (m_is_relay) {
    schedule_read(kMaxFirstReadDelay, now);
  } else {
    stop_watch();
  }
}

void ConfigurationManager::on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome,
                                         TimePoint now) {
  if (m_changes.on_store_read(call, outcome, now) || m_read_call != call) {
    return;
  }
  m_read_call.reset();
  if (!outcome.has_value()) {
    m_context.counters.count("configuration_read_failures");
    // A host that is not a relay and has a configuration from a peer does not need the store.
    if (m_is_relay || m_current.version == ConfigurationVersion()) {
      m_next_read = now + retry_delay(m_read_failures++);
    }
    return;
  }
  m_read_failures = 0;
  const ConfigurationVersion before = m_current.version;
  static_cast<void>(adopt_document(*outcome, "the store", now));
  if (!outcome->value.has_value() && before > ConfigurationVersion()) {
    write_back(*outcome);
  }
  if (m_watch.has_value() && m_current.version > before) {
    // The watch should have reported this version, so it is restarted. An unnecessary restart is harmless.
    m_context.counters.count("configuration_watches_silent");
    stop_watch();
  }
  if (m_is_relay && !m_watch.has_value() && now >= m_watch_allowed_at) {
    start_watch(StoreRevision(outcome->current.value() + 1), now);
  }
  if (m_is_relay || m_current.version == ConfigurationVersion()) {
    m_next_read = now + kReadInterval;
  }
}

void ConfigurationManager::on_store_swapped(StoreCallId call,
                                            const tl::expected<CompareAndSwapResult, StoreError>& outcome,
                                            TimePoint now) {
  if (m_write_back_call == call) {
    // After a failure, the next read shows whether the store still holds an older version.
    m_write_back_call.reset();
    return;
  }
  m_changes.on_store_swapped(call, outcome, now);
}

void ConfigurationManager::write_back(const StoreValue& value) {
  if (m_write_back_call.has_value()) {
    return;
  }
  m_context.counters.count("configurations_written_back");
  m_write_back_call = m_context.ids.next<StoreCallId>();
  m_context.store.compare_and_swap(*m_write_back_call, m_key, value.modified, configuration_to_json(m_current));
}

void ConfigurationManager::on_store_changed(WatchId watch, const StoreValue& value, TimePoint now) {
  if (m_watch == watch) {
    static_cast<void>(adopt_document(value, "the store's watch", now));
  }
}

void ConfigurationManager::on_watch_failed(WatchId watch, TimePoint now) {
  if (m_watch != watch) {
    return;
  }
  m_context.counters.count("configuration_watch_failures");
  m_watch.reset();
  if (now - m_watch_started >= kMinHealthyWatchTime) {
    m_watch_failures = 0;
  }
  m_watch_allowed_at = now + retry_delay(m_watch_failures++);
  // The read before the next watch detects changes made in between.
  if (!m_read_call.has_value()) {
    m_next_read = m_watch_allowed_at;
  }
}

void ConfigurationManager::on_tick(TimePoint now) {
  m_changes.on_tick(now);
  if (m_next_read.has_value() && *m_next_read <= now) {
    read_document(now);
  }
}

std::optional<TimePoint> ConfigurationManager::next_wakeup() const {
  const std::optional<TimePoint> change = m_changes.next_wakeup();
  if (!change.has_value() || !m_next_read.has_value()) {
    return change.has_value() ? change : m_next_read;
  }
  return std::min(*change, *m_next_read);
}

bool ConfigurationManager::is_relay(const HostId& host) const {
  const HostRecord* const record = m_context.hosts.find(host);
  if (record == nullptr) {
    return false;
  }
  const std::vector<HostId> relays = relays_of(record->failure_domain);
  return std::find(relays.begin(), relays.end(), host) != relays.end();
}

std::map<HostId, ConfigurationVersion> ConfigurationManager::versions() const {
  std::map<HostId, ConfigurationVersion> versions;
  for (const auto& [host, peer] : m_peer_versions) {
    versions.emplace(host, peer.version);
  }
  versions[m_context.hosts.self().host] = m_current.version;
  return versions;
}

tl::expected<Configuration, std::string> ConfigurationManager::adopt_document(const StoreValue& value,
                                                                              const std::string& source,
                                                                              TimePoint now) {
  if (!value.value.has_value()) {
    m_context.counters.count("configuration_document_missing");
    return Configuration();
  }
  auto configuration = parse(*value.value, source);
  if (configuration.has_value()) {
    adopt(*configuration, source, now);
  }
  if (configuration.has_value() && configuration->version < m_current.version) {
    write_back(value);
  }
  return configuration;
}

void ConfigurationManager::change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) {
  if (outcome.has_value()) {
    m_context.counters.count("configuration_changes_accepted");
  }
  m_sink.configuration_change_finished(change, outcome, now);
}

tl::expected<Configuration, std::string> ConfigurationManager::parse(const std::string& document,
                                                                     const std::string& source) {
  auto configuration = configuration_from_json(document);
  if (!configuration.has_value()) {
    m_context.counters.count("configurations_rejected");
    return tl::unexpected("from " + source + ": " + configuration.error());
  }
  return configuration;
}

std::vector<HostId> ConfigurationManager::relays_of(const FailureDomainId& domain) const {
  std::vector<HostId> ranked = rank_hosts(m_context.hosts.working_hosts(domain), "configuration/" + domain.value());
  ranked.resize(std::min(ranked.size(), kRelays));
  return ranked;
}

void ConfigurationManager::announce(const std::string& source) {
  const HostRecord& self = m_context.hosts.self();
  std::vector<HostId> recipients = relays_of(self.failure_domain);
  const bool from_relay = std::any_of(recipients.begin(), recipients.end(),
                                      [&](const HostId& relay) { return source == "host " + relay.value(); });
  if (!m_is_relay && from_relay) {
    // The relay itself announces the version to the other hosts.
    return;
  }
  if (m_is_relay) {
    recipients = m_context.hosts.working_hosts(self.failure_domain);
    std::set<FailureDomainId> domains;
    for (const HostRecord& record : m_context.hosts.all_records()) {
      domains.insert(record.failure_domain);
    }
    domains.erase(self.failure_domain);
    for (const FailureDomainId& domain : domains) {
      const std::vector<HostId> relays = relays_of(domain);
      recipients.insert(recipients.end(), relays.begin(),
                        relays.begin() + std::min<std::ptrdiff_t>(1, std::ssize(relays)));
    }
  }
  for (const HostId& host : recipients) {
    const auto known = m_peer_versions.find(host);
    const bool up_to_date = known != m_peer_versions.end() && known->second.version >= m_current.version;
    if (host != self.host && !up_to_date && source != "host " + host.value()) {
      m_sink.announce_version(host);
    }
  }
}

void ConfigurationManager::fetch_newest() {
  while (!m_fetching) {
    const HostId* newest = nullptr;
    ConfigurationVersion highest = m_current.version;
    for (const auto& [host, peer] : m_peer_versions) {
      if (peer.fetchable && peer.version > highest) {
        newest = &host;
        highest = peer.version;
      }
    }
    if (newest == nullptr) {
      return;
    }
    m_fetching = m_sink.fetch_configuration(*newest, m_current.version);
    if (!m_fetching) {
      m_peer_versions[*newest].fetchable = false;
    }
  }
}

void ConfigurationManager::read_document(TimePoint now) {
  if (m_read_call.has_value()) {
    m_next_read.reset();
    return;
  }
  if (!m_budget.try_take(now)) {
    m_next_read = now + ReadBudget::kRefillInterval;
    return;
  }
  m_next_read.reset();
  m_read_call = m_context.ids.next<StoreCallId>();
  m_context.store.get(*m_read_call, m_key);
}

void ConfigurationManager::start_watch(StoreRevision from, TimePoint now) {
  m_watch = m_context.ids.next<WatchId>();
  m_watch_started = now;
  m_context.store.watch(*m_watch, m_key, from);
}

void ConfigurationManager::stop_watch() {
  if (m_watch.has_value()) {
    m_context.store.cancel_watch(*m_watch);
    m_watch.reset();
  }
}

void ConfigurationManager::schedule_read(Duration delay, TimePoint now) {
  if (m_read_call.has_value()) {
    return;
  }
  m_next_read = now + Duration(static_cast<Duration::rep>(m_random.next_double() * static_cast<double>(delay.count())));
}

Duration ConfigurationManager::retry_delay(std::uint32_t failures) {
  return backoff_delay(failures, kMinStoreRetryDelay, kMaxStoreRetryDelay, m_random.next_double());
}

}  // namespace teaselrudder
