#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace teaselrudder {

/// Returns the shape of a statement: `sql` without the parts that vary between executions. Literals and numbers become
/// `?`, a list of them becomes a single `?`, comments and runs of whitespace become one space or none, and everything
/// outside quoted identifiers is in lower case. The result is truncated to kMaxShapeLength bytes.
std::string statement_shape(std::string_view sql);

/// Maximum length of a shape in bytes, so that generated statements cannot fill the memory.
inline constexpr std::size_t kMaxShapeLength = 512;

/// Estimates how long statements take on one member from earlier executions.
///
/// The estimate of a shape is the median of its last executions, so that a single outlier has no effect. The table of
/// shapes is bounded; the least recently executed shape is evicted first.
class DurationEstimator {
 public:
  /// Default maximum number of shapes; they take about 0.5 MB if all have the maximum length.
  static constexpr std::size_t kDefaultMaxShapes = 1024;

  explicit DurationEstimator(std::size_t max_shapes = kDefaultMaxShapes);

  /// Records the duration of one execution.
  void record(const ServiceName& service, std::string_view shape, Duration actual);

  /// Returns the expected duration of an execution. For a shape without executions this is the member's median.
  Duration expected(const ServiceName& service, std::string_view shape) const;

  /// Returns true if the shape is expected to take more than 5 times the member's median.
  bool is_long(const ServiceName& service, std::string_view shape) const;

  /// Returns the median of the member's last 512 executions, or a fixed initial value before the first.
  Duration median() const;

  /// Returns the number of shapes in the table.
  std::size_t shapes() const { return m_shapes.size(); }

 private:
  using Key = std::pair<ServiceName, std::string>;

  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept;
  };

  struct ShapeEntry {
    /// Durations of the last executions, oldest first.
    std::vector<Duration> recent;
    std::list<const Key*>::iterator lru_position;
  };

  void record_for_median(Duration actual);
  ShapeEntry& entry_for(const ServiceName& service, std::string_view shape);

  std::size_t m_max_shapes;
  std::unordered_map<Key, ShapeEntry, KeyHash> m_shapes;
  /// Pointers to the keys of m_shapes, the least recently executed shape first.
  std::list<const Key*> m_lru;
  /// Ring buffer of the durations of the member's last executions; m_sorted has the same values in ascending order.
  std::vector<Duration> m_recent_ring;
  std::size_t m_recent_next = 0;
  std::vector<Duration> m_sorted;
};

}  // namespace teaselrudder
