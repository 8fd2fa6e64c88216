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

/// Number of a change within one life of a host.
using ChangeNumber = StrongType<struct ChangeNumberTag, std::uint64_t>;

/// A change that the store accepted.
struct AcceptedChange {
  /// The version that the change produced.
  ConfigurationVersion version;
  std::string change_id;
};

/// A change that did not come about, or whose outcome is unknown.
struct ChangeError {
  RefusalReason reason = RefusalReason::kInternal;
  Ran ran = Ran::kUnknown;
  std::string detail;
  std::string change_id;
  ConfigurationVersion based_on;
  /// For a conflict, the version that was there instead.
  std::optional<ConfigurationVersion> present;
};

using ChangeOutcome = tl::expected<AcceptedChange, ChangeError>;

/// What the changes need of the host around them.
class ChangeSink {
 public:
  ChangeSink() = default;
  ChangeSink(const ChangeSink&) = delete;
  ChangeSink& operator=(const ChangeSink&) = delete;
  virtual ~ChangeSink() = default;

  /// Reads a document of the store and puts it in force if its version is higher. An absent key gives version zero.
  virtual tl::expected<Configuration, std::string> adopt_document(const StoreValue& value, const std::string& source,
                                                                  TimePoint now) = 0;

  /// Gives the one outcome of a change.
  virtual void change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) = 0;
};

/// Carries changes of the configuration to the store: read, compare-and-swap, and resolution of lost answers.
class ChangeRunner {
 public:
  /// Time after which a change is answered in any case.
  static constexpr Duration kChangeDeadline = std::chrono::seconds(5);
  /// Bound on changes that one host carries out at once.
  static constexpr std::size_t kMaxOpenChanges = 16;

  /// `key` is the key of the document; `self` and `incarnation` make the change ids unique.
  ChangeRunner(std::string key, HostId self, Incarnation incarnation, std::shared_ptr<const StateChart> chart,
               StorePort& store, IdSource& ids, ReadBudget& budget, ChangeSink& sink, std::uint64_t random_seed);

  /// Starts a change that turns the version `proposed.version` into the content of `proposed`. The outcome goes to
  /// ChangeSink::change_finished(); a change that is refused at once is returned as an error instead.
  tl::expected<ChangeNumber, ChangeError> start(Configuration proposed, TimePoint now);

  /// Each returns false if `call` is not a call of a change.
  bool on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome, TimePoint now);
  bool on_store_swapped(StoreCallId call, const tl::expected<CompareAndSwapResult, StoreError>& outcome, TimePoint now);

  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next, if a change is open.
  std::optional<TimePoint> next_wakeup() const;

 private:
  struct Change {
    ChangeChart chart;
    Configuration proposed;
    ConfigurationVersion based_on;
    std::string document;
    StoreRevision expected{0};
    // True once the answer to a write was lost, so that a later failure alone does not show that nothing was written.
    bool uncertain = false;
    std::uint32_t failures = 0;
    TimePoint deadline;
    std::optional<TimePoint> resolve_at;
  };

  Change* find_by_call(StoreCallId call, ChangeNumber& number);
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
