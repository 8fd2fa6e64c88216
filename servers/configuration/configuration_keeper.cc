#include "servers/configuration/configuration_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/config/configuration_json.h"
#include "servers/configuration/backoff.h"
#include "servers/membership/rendezvous.h"

namespace teaselrudder {

namespace {

constexpr Duration kLowestStoreDelay = std::chrono::milliseconds(200);
constexpr Duration kHighestStoreDelay = std::chrono::seconds(5);
// A watch that lived this long worked, so its end does not lengthen the delay before the next one.
constexpr Duration kWatchCountsAsWorking = std::chrono::seconds(10);
// All hosts start or become relays together after a failure; the first reads are spread over this time.
constexpr Duration kFirstReadSpread = std::chrono::milliseconds(200);

}  // namespace

ConfigurationKeeper::ConfigurationKeeper(const KeeperContext& context, ConfigurationSink& sink, TimePoint now)
    : m_context(context),
      m_key(context.store_prefix + "/configuration"),
      m_sink(sink),
      m_random(context.random_seed),
      m_changes(m_key, context.hosts.self().host, context.hosts.self().incarnation, context.chart, context.store,
                context.ids, m_budget, *this, m_random.next()) {
  schedule_read(kFirstReadSpread, now);
}

bool ConfigurationKeeper::adopt(const Configuration& configuration, const std::string& source, TimePoint now) {
  if (configuration.version < m_in_force.version) {
    m_context.counters.count("configurations_older_ignored");
  }
  // A version is never replaced by a lower or an equal one, wherever it comes from.
  if (configuration.version <= m_in_force.version) {
    return false;
  }
  m_in_force = configuration;
  m_context.counters.count("configurations_adopted");
  m_sink.configuration_adopted(m_in_force, source, now);
  announce(source);
  return true;
}

tl::expected<ChangeNumber, ChangeError> ConfigurationKeeper::change(Configuration proposed, TimePoint now) {
  return m_changes.start(std::move(proposed), now);
}

void ConfigurationKeeper::on_peer_version(const HostId& host, ConfigurationVersion version) {
  if (m_context.hosts.find(host) == nullptr) {
    return;
  }
  m_peer_versions[host] = PeerVersion{version, true};
  fetch_newest();
}

void ConfigurationKeeper::on_peer_configuration(const HostId& host, const ConfigurationReply* reply, TimePoint now) {
  m_fetching = false;
  // The host is not asked again before it reports a version, so that a bad answer does not cause a loop.
  m_peer_versions[host].fetchable = false;
  if (reply != nullptr && !reply->document.empty()) {
    const std::string source = "host " + host.value();
    if (const auto configuration = parse(reply->document, source)) {
      adopt(*configuration, source, now);
    }
  }
  fetch_newest();
}

void ConfigurationKeeper::on_hosts_changed(TimePoint now) {
  std::erase_if(m_peer_versions, [this](const auto& entry) { return m_context.hosts.find(entry.first) == nullptr; });
  const std::vector<HostId> relays = relays_of(m_context.hosts.self().failure_domain);
  const bool is_relay = std::find(relays.begin(), relays.end(), m_context.hosts.self().host) != relays.end();
  if (is_relay == m_is_relay) {
    return;
  }
  m_is_relay = is_relay;
  if (m_is_relay) {
    schedule_read(kFirstReadSpread, now);
  } else {
    stop_watch();
  }
}

void ConfigurationKeeper::on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome,
                                        TimePoint now) {
  if (m_changes.on_store_read(call, outcome, now) || m_read != call) {
    return;
  }
  m_read.reset();
  if (!outcome.has_value()) {
    m_context.counters.count("configuration_read_failures");
    // A host that watches nothing and already learned a configuration from a peer does not need the store.
    if (m_is_relay || m_in_force.version == ConfigurationVersion()) {
      m_next_read = now + jittered(m_read_failures++);
    }
    return;
  }
  m_read_failures = 0;
  const ConfigurationVersion before = m_in_force.version;
  static_cast<void>(take_document(*outcome, "the store", now));
  if (m_watch.has_value() && m_in_force.version > before) {
    // The watch should have reported this version. A restart that was not needed does no harm.
    m_context.counters.count("configuration_watches_silent");
    stop_watch();
  }
  if (m_is_relay && !m_watch.has_value() && now >= m_watch_allowed_at) {
    start_watch(StoreRevision(outcome->current.value() + 1), now);
  }
  if (m_is_relay || m_in_force.version == ConfigurationVersion()) {
    m_next_read = now + kCheckInterval;
  }
}

void ConfigurationKeeper::on_store_swapped(StoreCallId call,
                                           const tl::expected<CompareAndSwapResult, StoreError>& outcome,
                                           TimePoint now) {
  m_changes.on_store_swapped(call, outcome, now);
}

void ConfigurationKeeper::on_store_changed(WatchId watch, const StoreValue& value, TimePoint now) {
  if (m_watch == watch) {
    static_cast<void>(take_document(value, "the store's watch", now));
  }
}

void ConfigurationKeeper::on_watch_failed(WatchId watch, TimePoint now) {
  if (m_watch != watch) {
    return;
  }
  m_context.counters.count("configuration_watch_failures");
  m_watch.reset();
  if (now - m_watch_started >= kWatchCountsAsWorking) {
    m_watch_failures = 0;
  }
  m_watch_allowed_at = now + jittered(m_watch_failures++);
  // The read before the next watch finds what changed in between.
  if (!m_read.has_value()) {
    m_next_read = m_watch_allowed_at;
  }
}

void ConfigurationKeeper::on_tick(TimePoint now) {
  m_changes.on_tick(now);
  if (m_next_read.has_value() && *m_next_read <= now) {
    read_document(now);
  }
}

std::optional<TimePoint> ConfigurationKeeper::next_wakeup() const {
  const std::optional<TimePoint> change = m_changes.next_wakeup();
  if (!change.has_value() || !m_next_read.has_value()) {
    return change.has_value() ? change : m_next_read;
  }
  return std::min(*change, *m_next_read);
}

bool ConfigurationKeeper::is_relay(const HostId& host) const {
  const HostRecord* const record = m_context.hosts.find(host);
  if (record == nullptr) {
    return false;
  }
  const std::vector<HostId> relays = relays_of(record->failure_domain);
  return std::find(relays.begin(), relays.end(), host) != relays.end();
}

std::map<HostId, ConfigurationVersion> ConfigurationKeeper::versions() const {
  std::map<HostId, ConfigurationVersion> versions;
  for (const auto& [host, peer] : m_peer_versions) {
    versions.emplace(host, peer.version);
  }
  versions[m_context.hosts.self().host] = m_in_force.version;
  return versions;
}

tl::expected<Configuration, std::string> ConfigurationKeeper::take_document(const StoreValue& value,
                                                                            const std::string& source, TimePoint now) {
  if (!value.value.has_value()) {
    m_context.counters.count("configuration_document_missing");
    return Configuration();
  }
  auto configuration = parse(*value.value, source);
  if (configuration.has_value()) {
    adopt(*configuration, source, now);
  }
  return configuration;
}

void ConfigurationKeeper::change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) {
  if (outcome.has_value()) {
    m_context.counters.count("configuration_changes_accepted");
  }
  m_sink.configuration_changed(change, outcome, now);
}

tl::expected<Configuration, std::string> ConfigurationKeeper::parse(const std::string& document,
                                                                    const std::string& source) {
  auto configuration = configuration_from_json(document);
  if (!configuration.has_value()) {
    m_context.counters.count("configurations_rejected");
    return tl::unexpected("from " + source + ": " + configuration.error());
  }
  return configuration;
}

std::vector<HostId> ConfigurationKeeper::relays_of(const FailureDomainId& domain) const {
  std::vector<HostId> ranked = rank_hosts(m_context.hosts.working_hosts(domain), "configuration/" + domain.value());
  ranked.resize(std::min(ranked.size(), kRelays));
  return ranked;
}

void ConfigurationKeeper::announce(const std::string& source) {
  const HostRecord& self = m_context.hosts.self();
  std::vector<HostId> told = relays_of(self.failure_domain);
  const bool from_relay =
      std::any_of(told.begin(), told.end(), [&](const HostId& relay) { return source == "host " + relay.value(); });
  if (!m_is_relay && from_relay) {
    // The relay tells the others itself.
    return;
  }
  if (m_is_relay) {
    told = m_context.hosts.working_hosts(self.failure_domain);
    std::set<FailureDomainId> domains;
    for (const HostRecord& record : m_context.hosts.all_records()) {
      domains.insert(record.failure_domain);
    }
    domains.erase(self.failure_domain);
    for (const FailureDomainId& domain : domains) {
      const std::vector<HostId> relays = relays_of(domain);
      told.insert(told.end(), relays.begin(), relays.begin() + std::min<std::ptrdiff_t>(1, std::ssize(relays)));
    }
  }
  for (const HostId& host : told) {
    const auto known = m_peer_versions.find(host);
    const bool knows = known != m_peer_versions.end() && known->second.version >= m_in_force.version;
    if (host != self.host && !knows && source != "host " + host.value()) {
      m_sink.announce_version(host);
    }
  }
}

void ConfigurationKeeper::fetch_newest() {
  while (!m_fetching) {
    const HostId* newest = nullptr;
    ConfigurationVersion highest = m_in_force.version;
    for (const auto& [host, peer] : m_peer_versions) {
      if (peer.fetchable && peer.version > highest) {
        newest = &host;
        highest = peer.version;
      }
    }
    if (newest == nullptr) {
      return;
    }
    m_fetching = m_sink.fetch_configuration(*newest, m_in_force.version);
    if (!m_fetching) {
      m_peer_versions[*newest].fetchable = false;
    }
  }
}

void ConfigurationKeeper::read_document(TimePoint now) {
  if (m_read.has_value()) {
    m_next_read.reset();
    return;
  }
  if (!m_budget.try_spend(now)) {
    m_next_read = now + ReadBudget::kInterval;
    return;
  }
  m_next_read.reset();
  m_read = m_context.ids.next<StoreCallId>();
  m_context.store.get(*m_read, m_key);
}

void ConfigurationKeeper::start_watch(StoreRevision from, TimePoint now) {
  m_watch = m_context.ids.next<WatchId>();
  m_watch_started = now;
  m_context.store.watch(*m_watch, m_key, from);
}

void ConfigurationKeeper::stop_watch() {
  if (m_watch.has_value()) {
    m_context.store.cancel_watch(*m_watch);
    m_watch.reset();
  }
}

void ConfigurationKeeper::schedule_read(Duration delay, TimePoint now) {
  if (m_read.has_value()) {
    return;
  }
  m_next_read = now + Duration(static_cast<Duration::rep>(m_random.next_unit() * static_cast<double>(delay.count())));
}

Duration ConfigurationKeeper::jittered(std::uint32_t failures) {
  return backoff_delay(failures, kLowestStoreDelay, kHighestStoreDelay, m_random.next_unit());
}

}  // namespace teaselrudder
