#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config/configuration.h"
#include "core/ports/store_port.h"
#include "core/random_sequence.h"
#include "core/refusal.h"
#include "servers/configuration/read_budget.h"
#include "servers/host/charts.h"
#include "servers/host/id_source.h"

namespace teaselrudder {

/// Number of a change, unique within one run of a host process.
using ChangeNumber = StrongType<struct ChangeNumberTag, std::uint64_t>;

/// A change that was written to the store.
struct AcceptedChange {
  /// The version that the change produced.
  ConfigurationVersion version;
  std::string change_id;
};

/// A change that was refused, or whose outcome is unknown.
struct ChangeError {
  RefusalReason reason = RefusalReason::kInternal;
  Ran ran = Ran::kUnknown;
  std::string detail;
  std::string change_id;
  ConfigurationVersion based_on;
  /// For a conflict, the version that was found instead of `based_on`.
  std::optional<ConfigurationVersion> present;
};

using ChangeOutcome = tl::expected<AcceptedChange, ChangeError>;

/// Callbacks of ChangeRunner.
class ChangeSink {
 public:
  ChangeSink() = default;
  ChangeSink(const ChangeSink&) = delete;
  ChangeSink& operator=(const ChangeSink&) = delete;
  virtual ~ChangeSink() = default;

  /// Parses a document from the store and adopts it if its version is higher than the current one. Returns the parsed
  /// configuration, or one with version zero if the key does not exist. `source` names the origin in the log.
  virtual tl::expected<Configuration, std::string> adopt_document(const StoreValue& value, const std::string& source,
                                                                  TimePoint now) = 0;

  /// Reports the outcome of `change`; called exactly once for each change that start() accepted.
  virtual void change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) = 0;
};

/// Writes changes of the configuration to the store.
///
/// A change reads the document and replaces it with a compare-and-swap if its version is the one that the change is
/// based on. If the answer to the write is lost, the document is read again until it shows whether the write took
/// effect: it contains the change id if it did.
class ChangeRunner {
 public:
  /// Time after which a change ends with an error if its outcome is not known.
  static constexpr Duration kChangeDeadline = std::chrono::seconds(5);
  /// Limit on concurrent changes of one host.
  static constexpr std::size_t kMaxOpenChanges = 16;

  /// `key` is the store key of the document. `self` and `incarnation` make change ids unique. `random_seed` is for the
  /// jitter of retries. All references must outlive the object.
  ChangeRunner(std::string key, HostId self, Incarnation incarnation, std::shared_ptr<const StateChart> chart,
               StorePort& store, IdSource& ids, ReadBudget& budget, ChangeSink& sink, std::uint64_t random_seed);

  /// Starts a change that replaces the version `proposed.version` by the content of `proposed`. Returns the number of
  /// the change, whose outcome is reported through ChangeSink::change_finished(), or an error if the change was refused
  /// immediately: the document is too large, too many changes are open, or the read budget is exhausted.
  tl::expected<ChangeNumber, ChangeError> start(Configuration proposed, TimePoint now);

  /// Handlers of the store's events. They return false if `call` does not belong to a change.
  bool on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome, TimePoint now);
  bool on_store_swapped(StoreCallId call, const tl::expected<CompareAndSwapResult, StoreError>& outcome, TimePoint now);

  void on_tick(TimePoint now);

  /// Returns the time of the next required on_tick(); nullopt if no change is open.
  std::optional<TimePoint> next_wakeup() const;

 private:
  struct Change {
    ChangeChart chart;
    Configuration proposed;
    ConfigurationVersion based_on;
    std::string document;
    StoreRevision expected{0};
    // True after the answer to a write was lost. A later error then no longer shows that nothing was written.
    bool uncertain = false;
    std::uint32_t failures = 0;
    TimePoint deadline;
    std::optional<TimePoint> resolve_at;
  };

  Change* take_call(StoreCallId call, ChangeNumber& number);
  bool send_read(ChangeNumber number, TimePoint now);
  void send_swap(ChangeNumber number, Change& change);
  void compare_base(ChangeNumber number, Change& change, const StoreValue& value, TimePoint now);
  void resolve(ChangeNumber number, Change& change, const StoreValue& value, TimePoint now);
  void resolve_later(Change& change, TimePoint now);
  void accept(ChangeNumber number, Change& change, ConfigurationVersion version, TimePoint now);
  void refuse(ChangeNumber number, Change& change, RefusalReason reason, std::string detail, TimePoint now);
  void refuse_conflict(ChangeNumber number, Change& change, ConfigurationVersion present, TimePoint now);
  void give_up(ChangeNumber number, Change& change, RefusalReason reason, std::string detail, TimePoint now);
  void finish(ChangeNumber number, const ChangeOutcome& outcome, TimePoint now);
  static ChangeError make_error(const Change& change, RefusalReason reason, Ran ran, std::string detail);

  std::string m_key;
  HostId m_self;
  Incarnation m_incarnation;
  std::shared_ptr<const StateChart> m_chart;
  StorePort& m_store;
  IdSource& m_ids;
  ReadBudget& m_budget;
  ChangeSink& m_sink;
  RandomSequence m_random;
  std::uint64_t m_last_number = 0;
  std::map<ChangeNumber, Change> m_changes;
  std::map<StoreCallId, ChangeNumber> m_calls;
};

}  // namespace teaselrudder
