#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "core/ports/store_port.h"
#include "core/time.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// Simulation of a store that holds one document, with faults. The caller simulates the delivery of the answers.
class StoreModel {
 public:
  /// Fault of a write: none, the write is lost before it takes effect, or its answer is lost after it.
  enum class WriteFault { kNone, kLostBefore, kLostAfter };

  /// While true, all calls fail without an effect.
  bool down = false;
  /// Time that a call takes to the store, and that its answer takes back.
  Duration delay = std::chrono::milliseconds(2);
  /// Probability that a read or write gets no answer. Half of such writes take effect.
  double loss = 0;
  /// Fault of the next write only; overrides `loss`.
  WriteFault next_write = WriteFault::kNone;
  /// Number of the next reads that get no answer.
  int failing_reads = 0;
  /// While true, watches neither report changes nor fail.
  bool silent_watches = false;

  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

  const StoreValue& value() const { return m_value; }

  /// Replaces the document regardless of its revision.
  void put(std::string document) {
    m_value.value = std::move(document);
    m_value.modified = m_value.current = StoreRevision(m_value.current.value() + 1);
    notify_watches();
  }

  /// Replaces the document and its revisions by those of `copy`, as if the store had been restored from it. Watches are
  /// not notified: they wait for revisions above those that were lost.
  void restore(const StoreValue& copy) { m_value = copy; }

  tl::expected<StoreValue, StoreError> read(std::mt19937_64& random) {
    ++reads;
    if (down) {
      return tl::unexpected(StoreError{StoreErrorKind::kUnavailable, false, "down"});
    }
    if (failing_reads > 0 || lost(random)) {
      failing_reads -= failing_reads > 0 ? 1 : 0;
      return tl::unexpected(StoreError{StoreErrorKind::kTimeout, false, "no answer"});
    }
    return m_value;
  }

  tl::expected<CompareAndSwapResult, StoreError> swap(StoreRevision expected, const std::string& value,
                                                      std::mt19937_64& random) {
    ++writes;
    if (down) {
      return tl::unexpected(StoreError{StoreErrorKind::kUnavailable, false, "down"});
    }
    WriteFault fault = std::exchange(next_write, WriteFault::kNone);
    if (fault == WriteFault::kNone && lost(random)) {
      fault = random() % 2 == 0 ? WriteFault::kLostBefore : WriteFault::kLostAfter;
    }
    CompareAndSwapResult result;
    if (fault != WriteFault::kLostBefore && m_value.modified == expected) {
      put(value);
      result.swapped = true;
    }
    if (fault != WriteFault::kNone) {
      return tl::unexpected(StoreError{StoreErrorKind::kTimeout, true, "no answer"});
    }
    result.present = m_value;
    return result;
  }

  /// Called with the document after each change, unless `silent_watches` or `down` is true.
  std::function<void(const StoreValue&)> on_change;

 private:
  bool lost(std::mt19937_64& random) const { return loss > 0 && static_cast<double>(random() % 1000) < loss * 1000; }

  void notify_watches() {
    if (on_change && !silent_watches && !down) {
      on_change(m_value);
    }
  }

  StoreValue m_value;
};

}  // namespace teaselrudder::model
