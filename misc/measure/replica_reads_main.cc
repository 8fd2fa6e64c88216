#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <random>
#include <string>
#include <vector>

#include "misc/measure/host_world.h"

DEFINE_uint64(seed, 20261204, "seed of all random values");
DEFINE_uint32(reads, 3000, "number of reads of each kind");

namespace teaselrudder {

namespace {

using model::HostWorld;
using model::WorldOptions;

constexpr std::size_t kMembers = 3;
constexpr Duration kReplicationLag = std::chrono::seconds(1);
// A replica can serve reads with a token one replication lag after the write; this adds a margin for the network delay.
constexpr Duration kPauseAfterWrite = std::chrono::milliseconds(1200);
constexpr Duration kAllowedAge = std::chrono::seconds(3);
constexpr Duration kReadInterval = std::chrono::milliseconds(4);

/// Counts where the reads of one kind were served.
struct Tally {
  std::size_t by_replica = 0;
  std::size_t by_primary = 0;
  std::size_t refused = 0;

  void add(const std::optional<model::CallerOutcome>& outcome, const MemberId& primary) {
    if (!outcome.has_value() || !outcome->has_value()) {
      ++refused;
    } else if ((*outcome)->served_by == primary) {
      ++by_primary;
    } else {
      ++by_replica;
    }
  }

  void print(const char* kind) const {
    const auto total = static_cast<double>(by_replica + by_primary + refused);
    std::printf("  %-46s %6.1f%% by replicas, %zu by the primary, %zu refused\n", kind,
                100.0 * static_cast<double>(by_replica) / total, by_primary, refused);
  }
};

/// Measures which share of reads through random hosts is served by replicas. The replicas lag by one second, and a
/// session writes once before every 100 reads.
class ReplicaReads {
 public:
  explicit ReplicaReads(const WorldOptions& options) : m_random(options.seed), m_world(options) {
    m_world.wait_until_ready();
    for (std::size_t member = 0; member < kMembers; ++member) {
      m_world.set_replication_delay(member, kReplicationLag);
    }
  }

  void run() {
    measure(
        "age of 3 s allowed", [this] { return aged_read(); }, Duration(0));
    measure(
        "own writes, written at least 1.2 s ago", [this] { return session_read(); }, kPauseAfterWrite);
    measure(
        "own writes, written just before (not eligible)", [this] { return session_read(); }, Duration(0));
    measure_naive();
  }

 private:
  // Baseline: reads from the members round-robin regardless of the session. Counts the answers that lack the session's
  // last write.
  void measure_naive() {
    constexpr std::size_t kReadsPerWrite = 100;
    std::size_t stale = 0;
    std::size_t by_replica = 0;
    std::size_t next = 0;
    for (std::size_t done = 0; done < FLAGS_reads; ++done) {
      if (done % kReadsPerWrite == 0) {
        write();
      }
      const std::size_t member = next++ % kMembers;
      by_replica += member == m_world.primary().value() ? 0 : 1;
      const auto position = SessionTokenCodec("key").decode(m_token, ServiceName("s"), GroupId("g"));
      stale += m_world.member(member).status().satisfies(position.value().point) ? 0 : 1;
      m_world.run_for(kReadInterval);
    }
    std::printf("  %-46s %6.1f%% by replicas, %zu answers lack the session's write\n",
                "naive: round robin, just after a write",
                100.0 * static_cast<double>(by_replica) / static_cast<double>(FLAGS_reads), stale);
  }

  Request aged_read() const {
    Request read = HostWorld::read_request("k", Freshness::kMaxAge);
    read.max_age = kAllowedAge;
    return read;
  }

  Request session_read() const {
    Request read = HostWorld::read_request("k", Freshness::kOwnWrites);
    read.token = m_token;
    return read;
  }

  template <typename MakeRequest>
  void measure(const char* kind, const MakeRequest& make_request, Duration pause_after_write) {
    constexpr std::size_t kReadsPerWrite = 100;
    Tally tally;
    for (std::size_t done = 0; done < FLAGS_reads; done += kReadsPerWrite) {
      write();
      m_world.run_for(pause_after_write);
      std::vector<std::size_t> reads;
      for (std::size_t count = 0; count < kReadsPerWrite; ++count) {
        reads.push_back(m_world.submit(m_random() % m_world.hosts(), make_request()));
        m_world.run_for(kReadInterval);
      }
      m_world.run_for(std::chrono::seconds(2));
      const MemberId primary("m" + std::to_string(m_world.primary().value()));
      for (const std::size_t read : reads) {
        tally.add(m_world.outcome(read), primary);
      }
    }
    tally.print(kind);
  }

  void write() {
    const std::size_t number = m_world.submit(0, HostWorld::write_request("k", "x"));
    m_world.run_until([&] { return m_world.outcome(number).has_value(); }, std::chrono::seconds(11));
    const auto& outcome = m_world.outcome(number);
    if (outcome.has_value() && outcome->has_value()) {
      m_token = (*outcome)->token;
    }
  }

  std::mt19937_64 m_random;
  HostWorld m_world;
  std::string m_token;
};

void measure_deployment(const char* name, WorldOptions options) {
  options.seed = FLAGS_seed;
  std::printf("%s, replicas lag by 1 s\n", name);
  ReplicaReads(options).run();
}

}  // namespace

}  // namespace teaselrudder

int main(int argc, char** argv) {
  using teaselrudder::model::WorldOptions;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    WorldOptions ripewell;
    ripewell.domains = 4;
    teaselrudder::measure_deployment("Ripewell", ripewell);
    WorldOptions hinokuni;
    hinokuni.latency = std::chrono::milliseconds(1);
    hinokuni.connect_cost = std::chrono::milliseconds(30);
    hinokuni.connections = 40;
    teaselrudder::measure_deployment("Hinokuni", hinokuni);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "replica_reads: %s\n", error.what());
    return 1;
  }
  return 0;
}
