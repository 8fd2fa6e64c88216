#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "misc/measure/group_harness.h"

namespace teaselrudder::testing {

/// Records every promotion, write and read of a run and checks them against the guarantees of a group by comparing the
/// sets of records.
class GroupChecker : public model::HarnessObserver {
 public:
  explicit GroupChecker(std::size_t members) : m_members(members) {}

  void on_promoted(std::size_t member, Term term, const std::vector<model::Record>& log) override {
    const auto [first, is_new] = m_primaries_by_term.emplace(term, member);
    if (!is_new && first->second != member) {
      m_errors.emplace_back("two primaries in one term");
    }
    std::set<std::uint64_t> ids;
    for (const model::Record& record : log) {
      ids.insert(record.id);
    }
    m_promotions.push_back({term, std::move(ids)});
    m_newest_term = std::max(m_newest_term, term);
  }

  void on_executed(std::uint64_t id, Term term) override {
    if (term < m_newest_term) {
      m_executed_in_superseded.insert(id);
    }
  }

  void on_confirmed(std::uint64_t id, const LogPoint& point, std::size_t holders, TimePoint now) override {
    if (2 * holders <= m_members) {
      m_errors.emplace_back("a write was confirmed that no majority holds");
    }
    m_confirmed.push_back({id, point.term, now});
    if (m_executed_in_superseded.contains(id)) {
      m_errors.emplace_back("a write of a superseded term was confirmed");
    }
  }

  void on_read(const ReadRequirement& requirement, const std::vector<std::uint64_t>& session_ids,
               const std::vector<std::uint64_t>& visible, bool primary, TimePoint started, TimePoint now) override {
    (primary ? m_primary_reads : m_replica_reads)[requirement.freshness] += 1;
    std::vector<std::uint64_t> seen = visible;
    std::sort(seen.begin(), seen.end());
    const auto missing = [&seen](std::uint64_t id) { return !std::binary_search(seen.begin(), seen.end(), id); };
    if (std::any_of(session_ids.begin(), session_ids.end(), missing)) {
      m_errors.emplace_back("a read misses a confirmed write of its session");
    }
    if (requirement.freshness == Freshness::kOwnWrites) {
      return;
    }
    const bool is_fresh = requirement.freshness == Freshness::kFresh;
    const TimePoint bound = is_fresh ? started : now - requirement.max_age;
    for (const Confirmed& write : m_confirmed) {
      if (write.confirmed_at < bound && missing(write.id)) {
        m_errors.emplace_back(is_fresh ? "a fresh read misses a write" : "a max_age read is older than stated");
        return;
      }
    }
  }

  /// Returns a description of the first violation, or an empty string.
  std::string first_error() const {
    if (!m_errors.empty()) {
      return m_errors.front();
    }
    for (const Confirmed& write : m_confirmed) {
      for (const Promotion& promotion : m_promotions) {
        if (promotion.term > write.term && !promotion.ids.contains(write.id)) {
          return "a later primary lacks a confirmed write";
        }
      }
    }
    return {};
  }

  std::size_t confirmed_writes() const { return m_confirmed.size(); }
  std::size_t promotions() const { return m_promotions.size(); }
  Term newest_term() const { return m_newest_term; }
  std::size_t replica_reads(Freshness freshness) { return m_replica_reads[freshness]; }
  std::size_t primary_reads(Freshness freshness) { return m_primary_reads[freshness]; }

  /// Returns the number of writes confirmed in `term` or a later one.
  std::size_t confirmed_since(Term term) const {
    return static_cast<std::size_t>(std::count_if(m_confirmed.begin(), m_confirmed.end(),
                                                  [term](const Confirmed& write) { return write.term >= term; }));
  }

 private:
  struct Promotion {
    Term term;
    std::set<std::uint64_t> ids;
  };

  struct Confirmed {
    std::uint64_t id = 0;
    Term term;
    TimePoint confirmed_at;
  };

  std::size_t m_members;
  std::map<Term, std::size_t> m_primaries_by_term;
  std::vector<Promotion> m_promotions;
  std::vector<Confirmed> m_confirmed;
  std::set<std::uint64_t> m_executed_in_superseded;
  std::vector<std::string> m_errors;
  std::map<Freshness, std::size_t> m_replica_reads;
  std::map<Freshness, std::size_t> m_primary_reads;
  Term m_newest_term;
};

}  // namespace teaselrudder::testing
