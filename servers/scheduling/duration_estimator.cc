#include "servers/scheduling/duration_estimator.h"

#include <algorithm>
#include <cctype>
#include <functional>

namespace teaselrudder {

namespace {

/// Number of executions that the median of a member covers.
constexpr std::size_t kMedianWindow = 512;
/// Number of executions that the estimate of a shape covers. Three outliers in a row do not change the estimate, four
/// executions with a new duration do.
constexpr std::size_t kShapeWindow = 7;
/// A statement is long if it is expected to take more than this many times the member's median.
constexpr int kLongFactor = 5;
/// Median before the first execution; typical for a statement that reads by key.
constexpr Duration kInitialMedian = std::chrono::milliseconds(5);

bool is_word(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '$'; }
bool is_digit(char c) { return std::isdigit(static_cast<unsigned char>(c)) != 0; }
bool is_space(char c) { return std::isspace(static_cast<unsigned char>(c)) != 0; }

/// Scans a statement once from left to right and builds its shape.
class ShapeWriter {
 public:
  explicit ShapeWriter(std::string_view sql) : m_sql(sql) {}

  std::string write() {
    while (m_position < m_sql.size() && m_shape.size() < kMaxShapeLength) {
      step();
    }
    if (m_shape.size() > kMaxShapeLength) {
      m_shape.resize(kMaxShapeLength);
    }
    return std::move(m_shape);
  }

 private:
  char peek(std::size_t offset) const { return m_position + offset < m_sql.size() ? m_sql[m_position + offset] : '\0'; }

  void step() {
    const char c = peek(0);
    if (is_space(c)) {
      ++m_position;
      m_space_due = true;
    } else if (c == '-' && peek(1) == '-') {
      m_position = std::min(m_sql.find('\n', m_position), m_sql.size());
      m_space_due = true;
    } else if (c == '/' && peek(1) == '*') {
      skip_block_comment();
    } else if (c == '\'') {
      skip_string(false);
    } else if ((c == 'e' || c == 'E') && peek(1) == '\'') {
      ++m_position;
      skip_string(true);
    } else if (c == '$' && skip_dollar_string()) {
      write_placeholder();
    } else if (is_digit(c) || (c == '.' && is_digit(peek(1)))) {
      skip_number();
    } else if (c == '"') {
      copy_quoted_identifier();
    } else {
      copy_word();
    }
  }

  /// Appends a pending space only between two words, so that optional spaces around operators make no difference.
  void write_space(char next) {
    if (m_space_due && !m_shape.empty() && is_word(m_shape.back()) && is_word(next)) {
      m_shape += ' ';
    }
    m_space_due = false;
  }

  /// Appends `?`. In a list, the previous placeholder is kept instead, so that lists of any length have the same shape.
  void write_placeholder() {
    if (m_shape.ends_with("?,")) {
      m_shape.pop_back();
      m_space_due = false;
      return;
    }
    m_space_due = false;
    m_shape += '?';
  }

  void skip_block_comment() {
    std::size_t depth = 0;
    do {
      if (peek(0) == '/' && peek(1) == '*') {
        ++depth;
        m_position += 2;
      } else if (peek(0) == '*' && peek(1) == '/') {
        --depth;
        m_position += 2;
      } else {
        ++m_position;
      }
    } while (depth > 0 && m_position < m_sql.size());
    m_space_due = true;
  }

  void skip_string(bool backslash_escapes) {
    ++m_position;
    while (m_position < m_sql.size()) {
      const bool escape = (backslash_escapes && peek(0) == '\\') || (peek(0) == '\'' && peek(1) == '\'');
      if (!escape && peek(0) == '\'') {
        ++m_position;
        break;
      }
      m_position += escape ? 2 : 1;
    }
    write_placeholder();
  }

  /// Skips a dollar-quoted literal `$tag$...$tag$`. Returns false and skips nothing if none starts here, as for the
  /// parameter `$1`.
  bool skip_dollar_string() {
    std::size_t end = m_position + 1;
    while (end < m_sql.size() && is_word(m_sql[end]) && m_sql[end] != '$') {
      ++end;
    }
    if (end >= m_sql.size() || m_sql[end] != '$' || is_digit(peek(1))) {
      return false;
    }
    const std::string_view tag = m_sql.substr(m_position, end - m_position + 1);
    const std::size_t close = m_sql.find(tag, end + 1);
    m_position = close == std::string_view::npos ? m_sql.size() : close + tag.size();
    return true;
  }

  void skip_number() {
    while (is_word(peek(0)) || peek(0) == '.') {
      const bool exponent = peek(0) == 'e' || peek(0) == 'E';
      ++m_position;
      if (exponent && (peek(0) == '+' || peek(0) == '-')) {
        ++m_position;
      }
    }
    write_placeholder();
  }

  void copy_quoted_identifier() {
    m_space_due = false;
    do {
      m_shape += peek(0);
      ++m_position;
    } while (m_position < m_sql.size() && peek(0) != '"');
    m_shape += '"';
    ++m_position;
  }

  void copy_word() {
    write_space(peek(0));
    do {
      m_shape += static_cast<char>(std::tolower(static_cast<unsigned char>(peek(0))));
      ++m_position;
    } while (m_position < m_sql.size() && is_word(m_shape.back()) && is_word(peek(0)));
  }

  std::string_view m_sql;
  std::size_t m_position = 0;
  bool m_space_due = false;
  std::string m_shape;
};

/// Returns the lower median of `values`. With two values this is the lower one, so that a slow first execution no
/// longer counts once a second, faster one was recorded.
Duration lower_median(std::vector<Duration> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::string statement_shape(std::string_view sql) { return ShapeWriter(sql).write(); }

std::size_t DurationEstimator::KeyHash::operator()(const Key& key) const noexcept {
  return std::hash<std::string>{}(key.second) * 31 + std::hash<ServiceName>{}(key.first);
}

DurationEstimator::DurationEstimator(std::size_t max_shapes) : m_max_shapes(std::max<std::size_t>(max_shapes, 1)) {}

void DurationEstimator::record(const ServiceName& service, std::string_view shape, Duration actual) {
  const Duration duration = std::max(actual, Duration::zero());
  record_for_median(duration);
  std::vector<Duration>& recent = entry_for(service, shape).recent;
  if (recent.size() == kShapeWindow) {
    recent.erase(recent.begin());
  }
  recent.push_back(duration);
}

Duration DurationEstimator::expected(const ServiceName& service, std::string_view shape) const {
  const auto found = m_shapes.find(Key(service, shape));
  return found == m_shapes.end() ? median() : lower_median(found->second.recent);
}

bool DurationEstimator::is_long(const ServiceName& service, std::string_view shape) const {
  return expected(service, shape) > kLongFactor * median();
}

Duration DurationEstimator::median() const {
  return m_sorted.empty() ? kInitialMedian : m_sorted[(m_sorted.size() - 1) / 2];
}

void DurationEstimator::record_for_median(Duration actual) {
  if (m_recent_ring.size() < kMedianWindow) {
    m_recent_ring.push_back(actual);
  } else {
    m_sorted.erase(std::lower_bound(m_sorted.begin(), m_sorted.end(), m_recent_ring[m_recent_next]));
    m_recent_ring[m_recent_next] = actual;
    m_recent_next = (m_recent_next + 1) % kMedianWindow;
  }
  m_sorted.insert(std::upper_bound(m_sorted.begin(), m_sorted.end(), actual), actual);
}

DurationEstimator::ShapeEntry& DurationEstimator::entry_for(const ServiceName& service, std::string_view shape) {
  const auto [found, inserted] = m_shapes.try_emplace(Key(service, shape));
  ShapeEntry& entry = found->second;
  if (!inserted) {
    m_lru.splice(m_lru.end(), m_lru, entry.lru_position);
    return entry;
  }
  entry.lru_position = m_lru.insert(m_lru.end(), &found->first);
  if (m_shapes.size() > m_max_shapes) {
    const Key oldest = *m_lru.front();
    m_lru.pop_front();
    m_shapes.erase(oldest);
  }
  return entry;
}

}  // namespace teaselrudder
