#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config/configuration.h"
#include "core/metrics/counters.h"
#include "core/ports/peer_port.h"
#include "core/ports/store_port.h"
#include "servers/configuration/change_runner.h"
#include "servers/membership/host_table.h"

namespace teaselrudder {

/// Callbacks of ConfigurationManager.
class ConfigurationSink {
 public:
  ConfigurationSink() = default;
  ConfigurationSink(const ConfigurationSink&) = delete;
  ConfigurationSink& operator=(const ConfigurationSink&) = delete;
  virtual ~ConfigurationSink() = default;

  /// A higher version was adopted from `source`.
  virtual void configuration_adopted(const Configuration& configuration, const std::string& source, TimePoint now) = 0;

  /// Sends FetchConfiguration to `host` and reports the answer to on_peer_configuration(). Returns false if `host` is
  /// unknown.
  virtual bool fetch_configuration(const HostId& host, ConfigurationVersion known) = 0;

  /// Sends a probe, which contains the current version, to `host`.
  virtual void announce_version(const HostId& host) = 0;

  /// Reports the outcome of `change`; called exactly once for each change that change() accepted.
  virtual void configuration_change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) = 0;
};

/// Dependencies and parameters of ConfigurationManager. The references must outlive it.
struct ConfigurationContext {
  /// Prefix of this system's keys in the store.
  std::string store_prefix;
  std::uint64_t random_seed = 0;
  /// State chart of configuration changes.
  std::shared_ptr<const StateChart> chart;
  const HostTable& hosts;
  StorePort& store;
  IdSource& ids;
  Counters& counters;
};

/// Manages the configuration of one host. A version from any source is adopted only if it is higher than the current
/// one. Changes are written to the platform's store. A store that was restored from an older copy may hold an older
/// version than the hosts; the first host that reads it writes its own version back.
///
/// In each failure domain, the kRelays hosts that rank highest in rendezvous hashing are relays, which watch the
/// document in the store. All other hosts learn new versions from the relays and from probes.
class ConfigurationManager : private ChangeSink {
 public:
  /// Number of relays per failure domain: one, and a second for redundancy.
  static constexpr std::size_t kRelays = 2;
  /// Interval at which a relay reads the document, to detect watches that stopped reporting changes. 12 relays read 6
  /// times per second in total, of the 2000 reads per second that the store allows the fleet.
  static constexpr Duration kReadInterval = std::chrono::seconds(2);

  ConfigurationManager(const ConfigurationContext& context, ConfigurationSink& sink, TimePoint now);

  /// Returns the current configuration; its version is zero until one has been adopted.
  const Configuration& current() const { return m_current; }

  /// Adopts `configuration` if its version is higher than the current one; returns false otherwise.
  bool adopt(const Configuration& configuration, const std::string& source, TimePoint now);

  /// Starts a change that replaces the version `proposed.version`; see ChangeRunner::start().
  tl::expected<ChangeNumber, ChangeError> change(Configuration proposed, TimePoint now);

  /// `host` reported its current version.
  void on_peer_version(const HostId& host, ConfigurationVersion version);

  /// `host` answered fetch_configuration(); `reply` is null if the call failed.
  void on_peer_configuration(const HostId& host, const ConfigurationReply* reply, TimePoint now);

  /// The table of known hosts changed.
  void on_hosts_changed(TimePoint now);

  void on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome, TimePoint now);
  void on_store_swapped(StoreCallId call, const tl::expected<CompareAndSwapResult, StoreError>& outcome, TimePoint now);
  void on_store_changed(WatchId watch, const StoreValue& value, TimePoint now);
  void on_watch_failed(WatchId watch, TimePoint now);

  void on_tick(TimePoint now);

  /// Returns the time of the next required on_tick(); nullopt if nothing is scheduled.
  std::optional<TimePoint> next_wakeup() const;

  /// Returns whether this host is a relay of its failure domain.
  bool is_relay() const { return m_is_relay; }

  /// Returns whether `host` is a relay, according to this host's table of hosts.
  bool is_relay(const HostId& host) const;

  /// Returns the last reported version of each known host, including this one.
  std::map<HostId, ConfigurationVersion> versions() const;

 private:
  struct PeerVersion {
    ConfigurationVersion version;
    // False after a fetch from the host, until the host reports a version again.
    bool fetchable = true;
  };

  tl::expected<Configuration, std::string> adopt_document(const StoreValue& value, const std::string& source,
                                                          TimePoint now) override;
  void change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) override;

  tl::expected<Configuration, std::string> parse(const std::string& document, const std::string& source);
  /// Replaces the document that was read as `value` by the current configuration.
  void write_back(const StoreValue& value);
  std::vector<HostId> relays_of(const FailureDomainId& domain) const;
  void announce(const std::string& source);
  void fetch_newest();
  void read_document(TimePoint now);
  void start_watch(StoreRevision from, TimePoint now);
  void stop_watch();
  void schedule_read(Duration delay, TimePoint now);
  Duration retry_delay(std::uint32_t failures);

  ConfigurationContext m_context;
  std::string m_key;
  ConfigurationSink& m_sink;
  RandomSequence m_random;
  ReadBudget m_budget;
  ChangeRunner m_changes;
  Configuration m_current;
  std::map<HostId, PeerVersion> m_peer_versions;
  bool m_fetching = false;
  bool m_is_relay = false;
  std::optional<StoreCallId> m_read_call;
  std::optional<StoreCallId> m_write_back_call;
  std::optional<TimePoint> m_next_read;
  std::uint32_t m_read_failures = 0;
  std::optional<WatchId> m_watch;
  TimePoint m_watch_started;
  TimePoint m_watch_allowed_at;
  std::uint32_t m_watch_failures = 0;
};

}  // namespace teaselrudder
