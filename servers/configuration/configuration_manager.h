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

/// What the keeper of the configuration needs of the host around it.
class ConfigurationSink {
 public:
  ConfigurationSink() = default;
  ConfigurationSink(const ConfigurationSink&) = delete;
  ConfigurationSink& operator=(const ConfigurationSink&) = delete;
  virtual ~ConfigurationSink() = default;

  /// A higher version came into force.
  virtual void configuration_adopted(const Configuration& configuration, const std::string& source, TimePoint now) = 0;

  /// Sends FetchConfiguration to `host`; on_peer_configuration() follows. Returns false if the host is not known.
  virtual bool fetch_configuration(const HostId& host, ConfigurationVersion known) = 0;

  /// Sends a probe with the version in force to `host`.
  virtual void announce_version(const HostId& host) = 0;

  /// Gives the one outcome of a change.
  virtual void configuration_changed(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) = 0;
};

/// What the keeper needs to know of its host. `hosts`, `store`, `ids` and `counters` outlive the keeper.
struct ConfigurationContext {
  std::string store_prefix;
  std::uint64_t random_seed = 0;
  std::shared_ptr<const StateChart> chart;
  const HostTable& hosts;
  StorePort& store;
  IdSource& ids;
  Counters& counters;
};

/// Keeps the configuration of one host. A version comes into force only if it is higher than the present one, wherever
/// it comes from; changes go through the platform's store.
///
/// In each failure domain the two hosts with the highest rendezvous scores, the relays, watch the document. The other
/// hosts learn new versions from the relays and from probes.
class ConfigurationManager : private ChangeSink {
 public:
  /// Hosts of one failure domain that watch the document: one, and a spare.
  static constexpr std::size_t kRelays = 2;
  /// Time between a relay's reads of the document. A watch that went silent is found by them; 12 relays read 6 times
  /// per second in all, of the two thousand reads per second that the store offers to the fleet.
  static constexpr Duration kReadInterval = std::chrono::seconds(2);

  ConfigurationManager(const ConfigurationContext& context, ConfigurationSink& sink, TimePoint now);

  /// Returns the configuration that is in force.
  const Configuration& current() const { return m_current; }

  /// Puts `configuration` in force if its version is higher. Returns false otherwise.
  bool adopt(const Configuration& configuration, const std::string& source, TimePoint now);

  /// Starts a change of the version `proposed.version`; see ChangeRunner::start().
  tl::expected<ChangeNumber, ChangeError> change(Configuration proposed, TimePoint now);

  /// Another host reported the version that is in force there.
  void on_peer_version(const HostId& host, ConfigurationVersion version);

  /// The host that was asked for its configuration answered; `reply` is null if it did not.
  void on_peer_configuration(const HostId& host, const ConfigurationReply* reply, TimePoint now);

  /// The hosts of this system changed.
  void on_hosts_changed(TimePoint now);

  void on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome, TimePoint now);
  void on_store_swapped(StoreCallId call, const tl::expected<CompareAndSwapResult, StoreError>& outcome, TimePoint now);
  void on_store_changed(WatchId watch, const StoreValue& value, TimePoint now);
  void on_watch_failed(WatchId watch, TimePoint now);

  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next, if something waits.
  std::optional<TimePoint> next_wakeup() const;

  /// Tells whether this host watches the document for its failure domain.
  bool is_relay() const { return m_is_relay; }

  /// Tells whether `host` does so, as far as this host knows.
  bool is_relay(const HostId& host) const;

  /// Returns the version that each known host last reported, this host included.
  std::map<HostId, ConfigurationVersion> versions() const;

 private:
  struct PeerVersion {
    ConfigurationVersion version;
    // False after a failed fetch, until the host reports again.
    bool fetchable = true;
  };

  tl::expected<Configuration, std::string> adopt_document(const StoreValue& value, const std::string& source,
                                                          TimePoint now) override;
  void change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) override;

  tl::expected<Configuration, std::string> parse(const std::string& document, const std::string& source);
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
  std::optional<StoreCallId> m_read;
  std::optional<TimePoint> m_next_read;
  std::uint32_t m_read_failures = 0;
  std::optional<WatchId> m_watch;
  TimePoint m_watch_started;
  TimePoint m_watch_allowed_at;
  std::uint32_t m_watch_failures = 0;
};

}  // namespace teaselrudder
