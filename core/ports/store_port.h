#pragma once

#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Kinds of failure of a call to the platform's store.
enum class StoreErrorKind {
  kUnavailable,     // The store cannot be reached or answers with a server error.
  kTimeout,         // No answer came in time.
  kBudgetExceeded,  // This host's share of the store's rate is used up; the call was not sent.
  kBadResponse,     // The answer does not have the expected form.
};

/// A failed call to the platform's store.
struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kUnavailable;
  /// False only if the call certainly changed nothing and never will.
  bool may_have_taken_effect = true;
  std::string message;
};

/// A value in the platform's store.
struct StoreValue {
  /// Nothing if the key does not exist.
  std::optional<std::string> value;
  /// Revision of the key's last change; zero if the key does not exist.
  StoreRevision modified{0};
  /// Revision of the store when the value was read.
  StoreRevision current{0};
};

/// Result of a compare-and-swap.
struct CompareAndSwapResult {
  /// True if the new value was written.
  bool swapped = false;
  /// The value after the call: the new one, or the one that differed.
  StoreValue present;
};

/// The platform's key-value store. Results arrive as events of StoreEvents.
class StorePort {
 public:
  StorePort() = default;
  StorePort(const StorePort&) = delete;
  StorePort& operator=(const StorePort&) = delete;
  virtual ~StorePort() = default;

  /// Reads `key`. One event on_store_read follows.
  virtual void get(StoreCallId call, const std::string& key) = 0;

  /// Writes `value` if the key's last change has revision `expected`; zero expects an absent key. One event
  /// on_store_swapped follows.
  virtual void compare_and_swap(StoreCallId call, const std::string& key, StoreRevision expected,
                                const std::string& value) = 0;

  /// Reports changes of `key` from revision `from` on, until the watch fails or is cancelled.
  virtual void watch(WatchId watch, const std::string& key, StoreRevision from) = 0;

  /// Ends a watch. No further event of it follows.
  virtual void cancel_watch(WatchId watch) = 0;
};

/// Receives results and changes of the platform's store.
class StoreEvents {
 public:
  StoreEvents() = default;
  StoreEvents(const StoreEvents&) = delete;
  StoreEvents& operator=(const StoreEvents&) = delete;
  virtual ~StoreEvents() = default;

  virtual void on_store_read(StoreCallId call, tl::expected<StoreValue, StoreError> outcome, TimePoint now) = 0;
  virtual void on_store_swapped(StoreCallId call, tl::expected<CompareAndSwapResult, StoreError> outcome,
                                TimePoint now) = 0;
  virtual void on_store_changed(WatchId watch, const StoreValue& value, TimePoint now) = 0;
  /// The watch ended and must be started again by its owner.
  virtual void on_watch_failed(WatchId watch, const StoreError& error, TimePoint now) = 0;
};

}  // namespace teaselrudder
