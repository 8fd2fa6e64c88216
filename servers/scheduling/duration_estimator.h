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

/// Returns `sql` without what varies between executions: literals and numbers become `?`, a list of them one `?`,
/// comments and runs of whitespace one space, and everything outside quoted identifiers is in lower case. The result is
/// cut at kMaxShapeLength bytes.
std::string statement_shape(std::string_view sql);

/// Longest shape kept, so that generated statements cannot fill the memory.
inline constexpr std::size_t kMaxShapeLength = 512;

/// Learns how long statements take on one member.
///
/// The estimate of a shape is the median of its last executions, which one outlier does not move. The table of shapes
/// is bounded; the shape that ran least recently goes first.
class DurationEstimator {
 public:
  /// Shapes that are kept by default; about 0.5 MB at the longest shapes.
  static constexpr std::size_t kDefaultMaxShapes = 1024;

  explicit DurationEstimator(std::size_t max_shapes = kDefaultMaxShapes);

  /// Adds one execution.
  void record(const ServiceName& service, std::string_view shape, Duration actual);

  /// Returns the expected duration. A shape without executions starts at the member's median.
  Duration expected(const ServiceName& service, std::string_view shape) const;

  /// Tells whether the shape is expected to take more than 5 times the member's median.
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
    /// The last executions, oldest first.
    std::vector<Duration> recent;
    std::list<const Key*>::iterator use;
  };

  void record_for_median(Duration actual);
  ShapeEntry& entry_for(const ServiceName& service, std::string_view shape);

  std::size_t m_max_shapes;
  std::unordered_map<Key, ShapeEntry, KeyHash> m_shapes;
  /// Keys of m_shapes, the least recently recorded first.
  std::list<const Key*> m_uses;
  /// The member's last executions as a ring, and the same values sorted.
  std::vector<Duration> m_ring;
  std::size_t m_ring_next = 0;
  std::vector<Duration> m_sorted;
};

}  // namespace teaselrudder
