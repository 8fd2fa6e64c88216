#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/routing_table.h"
#include "core/time.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Identifies a lease in the platform's store. Keys written under a lease are removed when it ends.
using LeaseId = StrongType<struct LeaseIdTag, std::uint64_t>;

/// The operator stored a new configuration.
struct RoutingChanged {
  RoutingTable table;
};

/// A member wrote its entry. An entry that cannot be parsed is reported as MemberRemoved instead.
struct MemberUpdated {
  MemberEntry entry;
};

/// A member's entry was removed or cannot be parsed.
struct MemberRemoved {
  MemberId member;
};

/// A key that belongs to this system was written or removed.
struct RecordChanged {
  std::string key;
  /// The new value; nullopt if the key was removed.
  std::optional<std::string> value;
  StoreRevision revision;
  /// Lease under which the key was written; zero if there is none.
  LeaseId lease{};
};

/// A change reported by the store.
using StoreChange = std::variant<RoutingChanged, MemberUpdated, MemberRemoved, RecordChanged>;

/// One page of the store's current content.
struct StorePage {
  std::vector<StoreChange> items;
  /// Key after which the next page starts; nullopt on the last page.
  std::optional<std::string> next_after;
  /// Revision of the store when the page was read.
  StoreRevision as_of;
};

/// Changes since a revision.
struct StoreChanges {
  std::vector<StoreChange> changes;
  /// Revision up to which `changes` is complete.
  StoreRevision as_of;
};

/// Why a call to the store failed.
enum class CoordinationErrorKind {
  kUnavailable,       // The store cannot be reached, rejected the call, or had a server error.
  kTimeout,           // No answer arrived before the timeout.
  kBadAnswer,         // The answer does not have the expected form.
  kHistoryCompacted,  // The requested changes are older than the history that the store keeps.
  kConflict,          // The key did not have the expected revision; nothing was changed.
  kLeaseNotFound,     // The lease has expired or was ended.
  kRateExceeded,      // The request rate that all hosts share is exhausted.
};

/// Number of error kinds, for arrays indexed by kind.
inline constexpr std::size_t kCoordinationErrorKindCount =
    static_cast<std::size_t>(CoordinationErrorKind::kRateExceeded) + 1;

/// A failed call to the store.
struct CoordinationError {
  CoordinationErrorKind kind = CoordinationErrorKind::kUnavailable;
  std::string message;
};

/// Result of a call: StorePage for list(), StoreChanges for watch(), LeaseId for grant_lease(), StoreRevision for
/// write(), and std::monostate for renew_lease() and end_lease().
using CoordinationResult = std::variant<std::monostate, StorePage, StoreChanges, LeaseId, StoreRevision>;

/// Receives the results of calls to the store.
class CoordinationEvents {
 public:
  CoordinationEvents() = default;
  CoordinationEvents(const CoordinationEvents&) = delete;
  CoordinationEvents& operator=(const CoordinationEvents&) = delete;
  virtual ~CoordinationEvents() = default;

  virtual void on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                                      TimePoint now) = 0;
};

/// Receives the era of each answer of the store.
class StoreEraListener {
 public:
  StoreEraListener() = default;
  StoreEraListener(const StoreEraListener&) = delete;
  StoreEraListener& operator=(const StoreEraListener&) = delete;
  virtual ~StoreEraListener() = default;

  /// The store answered a call, successfully or not, in `era`. Called before the receiver of the call gets the result.
  virtual void on_store_era(StoreEra era, TimePoint now) = 0;
};

/// The platform's key-value store. It holds the operator's configuration, the members' entries, and this system's own
/// records, which are written under leases. Each call delivers exactly one result to its receiver, never before the
/// call returns.
class CoordinationPort {
 public:
  CoordinationPort() = default;
  CoordinationPort(const CoordinationPort&) = delete;
  CoordinationPort& operator=(const CoordinationPort&) = delete;
  virtual ~CoordinationPort() = default;

  /// Sets the receiver of the eras, which must outlive the calls. Answers without an era are not reported to it.
  virtual void set_era_listener(StoreEraListener& listener) = 0;

  /// Reads one page of all keys, in key order, starting after the key `after`; an empty `after` reads the first page.
  virtual void list(StoreCallId call, const std::string& after, CoordinationEvents& receiver) = 0;

  /// Waits up to `wait` for changes after `revision` (long poll).
  virtual void watch(StoreCallId call, StoreRevision revision, Duration wait, CoordinationEvents& receiver) = 0;

  virtual void grant_lease(StoreCallId call, Duration time_to_live, CoordinationEvents& receiver) = 0;
  virtual void renew_lease(StoreCallId call, LeaseId lease, CoordinationEvents& receiver) = 0;
  virtual void end_lease(StoreCallId call, LeaseId lease, CoordinationEvents& receiver) = 0;

  /// Writes `key` under `lease`, or without one if `lease` is zero, if the revision of its last change equals
  /// `expected`; an `expected` of zero requires that the key does not exist. Fails with kConflict otherwise.
  virtual void write(StoreCallId call, const std::string& key, StoreRevision expected, const std::string& value,
                     LeaseId lease, CoordinationEvents& receiver) = 0;
};

}  // namespace teaselrudder
