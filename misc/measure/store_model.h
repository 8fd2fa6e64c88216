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

/// One key-value store in memory, with faults. The world around it delivers the answers.
class StoreModel {
 public:
  /// What happens to a write.
  enum class WriteFault { kNone, kLostBefore, kLostAfter };

  /// Refuses all calls while down; a call that is not sent changes nothing.
  bool down = false;
  /// Time that a call takes to the store and the same time back.
  Duration delay = std::chrono::milliseconds(2);
  /// Probability of each kind of lost answer, for reads and writes.
  double loss = 0;
  /// The fault of the next write only; overrides `loss`.
  WriteFault next_write = WriteFault::kNone;
  /// The number of the next reads that fail without an answer.
  int failing_reads = 0;
  /// Watches report nothing, and do not fail either.
  bool silent_watches = false;

  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

  const StoreValue& value() const { return m_value; }

  /// Replaces the document, whatever its revision is.
  void put(std::string document) {
    m_value.value = std::move(document);
    m_value.modified = m_value.current = StoreRevision(m_value.current.value() + 1);
    changed();
  }

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

  /// Called with the document after each change that watches report.
  std::function<void(const StoreValue&)> on_change;

 private:
  bool lost(std::mt19937_64& random) const { return loss > 0 && static_cast<double>(random() % 1000) < loss * 1000; }

  void changed() {
    if (on_change && !silent_watches && !down) {
      on_change(m_value);
    }
  }

  StoreValue m_value;
};

}  // namespace teaselrudder::model
