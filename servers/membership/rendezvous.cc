#include "servers/membership/rendezvous.h"

#include <algorithm>
#include <utility>

#include "core/random_sequence.h"

namespace teaselrudder {

namespace {

// FNV-1a with 64 bits. std::hash may differ between builds, but all hosts must compute the same scores.
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t add_to_hash(std::uint64_t hash, std::string_view text) {
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return hash;
}

}  // namespace

std::uint64_t rendezvous_score(const HostId& host, std::string_view key) {
  const std::uint64_t hash = add_to_hash(add_to_hash(kFnvOffset, host.value()) * kFnvPrime, key);
  // The last characters have little effect on the high bits of FNV-1a, so the hash is mixed once more.
  return RandomSequence(hash).next();
}

std::vector<HostId> rank_hosts(std::vector<HostId> hosts, std::string_view key) {
  std::vector<std::pair<std::uint64_t, HostId>> scored;
  scored.reserve(hosts.size());
  for (HostId& host : hosts) {
    const std::uint64_t score = rendezvous_score(host, key);
    scored.emplace_back(score, std::move(host));
  }
  std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : left.second < right.second;
  });
  std::vector<HostId> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, host] : scored) {
    ranked.push_back(std::move(host));
  }
  return ranked;
}

}  // namespace teaselrudder
