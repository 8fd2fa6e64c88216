#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/routing_table.h"
#include "core/time.h"

namespace teaselrudder {

/// The members that the platform's store is known to hold, and those whose entries were removed recently.
///
/// A listing of a store that was restored from an older copy may show a member as it was before: ready although it is
/// leaving, in an earlier life, or although it has left. Such an entry tells nothing until its member has written it
/// again.
class KnownMembers {
 public:
  /// Time for which a removed entry is remembered. Longer than any loss of the store, which is some seconds.
  static constexpr Duration kRemovalRetention = std::chrono::seconds(60);

  /// Returns true if `entry`, listed in a restored copy, is older than what is known of its member.
  bool is_outdated(const MemberEntry& entry) const;

  void on_updated(const MemberEntry& entry);
  /// The entry was removed by its owner or because its owner was silent. It is remembered.
  void on_removed(const MemberId& member, TimePoint now);
  /// The entry is not in a restored copy. Its owner may write it again, so it is not remembered as removed.
  void on_lost(const MemberId& member) { m_members.erase(member); }

  /// Returns the known members that are not in `listed`.
  std::vector<MemberId> missing_in(const std::set<MemberId>& listed) const;

 private:
  /// What is_outdated() has to know of an entry.
  struct Life {
    std::int64_t started_at_ms = 0;
    bool leaving = false;
  };
  struct RemovedEntry {
    std::int64_t started_at_ms = 0;
    TimePoint removed_at;
  };

  std::map<MemberId, Life> m_members;
  std::map<MemberId, RemovedEntry> m_removed;
};

}  // namespace teaselrudder
