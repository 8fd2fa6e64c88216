#pragma once

#include <cstdint>

#include "core/ids.h"
#include "core/ports/promotion_port.h"

namespace teaselrudder {

/// Position of a record's last change in all histories of the platform's store. Revisions alone are given out again
/// after the store was restored from an older copy.
struct RecordVersion {
  StoreEra era;
  StoreRevision revision;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

/// Number of bits of a fencing token that hold the revision; the era is above them. At 400 writes a second revisions
/// fit for 87 years.
inline constexpr unsigned kRevisionBits = 40;

/// Highest era for which tokens do not overflow.
inline constexpr std::uint64_t kMaxEra = (std::uint64_t{1} << (64 - kRevisionBits)) - 1;

/// Returns a token that rises with each change of a record, also across restorations of the store.
inline FencingToken to_fencing_token(const RecordVersion& version) {
  return FencingToken((version.era.value() << kRevisionBits) + static_cast<std::uint64_t>(version.revision.value()));
}

/// Returns the era in which the record of a token was written.
inline StoreEra era_of(FencingToken token) { return StoreEra(token.value() >> kRevisionBits); }

}  // namespace teaselrudder
