#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "misc/measure/queue_policy.h"
#include "misc/measure/virtual_time.h"

namespace teaselrudder::measure {

/// Parameters of a deployment.
struct Deployment {
  std::string name;
  std::size_t failure_domains = 0;
  /// One-way network delay between failure domains, and within one.
  Duration far_hop{0};
  Duration near_hop = std::chrono::microseconds(200);
  std::size_t connections = 0;
  Duration connect_cost{0};
  std::size_t hosts = 0;
  std::size_t groups = 3;
  std::size_t members = 3;
  std::uint32_t slots = 3;

  std::size_t domain_of_host(std::size_t host) const { return host % failure_domains; }
  /// Members of a group are in different failure domains; the domain of the first one depends on the group.
  std::size_t domain_of_member(std::size_t group, std::size_t member) const {
    return (group + member) % failure_domains;
  }
  Duration distance(std::size_t left, std::size_t right) const { return left == right ? near_hop : far_hop; }
  std::size_t group_slots() const { return members * slots; }
};

/// How the hosts share the slots of the members.
class SharingScheme {
 public:
  virtual ~SharingScheme() = default;

  /// Sends work from the entry host `host` to a member of `group`. Calls `done` when the answer arrives at the host.
  virtual void submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) = 0;
};

/// Queue policy and choice of members of an owner.
enum class OwnerPolicy {
  kMemberQueue,  // MemberQueue; chooses the member with the shortest expected time.
  kNaive,        // FIFO queue; chooses members round-robin.
};

/// One owner for each group and failure domain; one queue for each member.
class OwnerScheme : public SharingScheme {
 public:
  OwnerScheme(VirtualTime& time, const Deployment& deployment, OwnerPolicy policy, double estimate_factor = 1);

  /// Occupies one slot of each member with work that never finishes.
  void hang_one_slot_of_each_member();

  void submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) override;

 private:
  std::size_t choose_member(std::size_t domain, std::size_t group, Urgency urgency);
  Duration one_way_delay(std::size_t host, std::size_t group, std::size_t member) const;

  VirtualTime& m_time;
  Deployment m_deployment;
  OwnerPolicy m_policy;
  std::vector<std::vector<MemberModel>> m_members;
  std::vector<std::size_t> m_next_member;
};

/// Each host has a fixed share of the slots of each group, with its own queue. A share below one slot is enforced by a
/// pause after each statement. If a member allows fewer connections than it has hosts, each statement opens a new one.
class FixedShareScheme : public SharingScheme {
 public:
  FixedShareScheme(VirtualTime& time, const Deployment& deployment);

  void submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) override;

 private:
  VirtualTime& m_time;
  Deployment m_deployment;
  double m_share;
  /// Queues by group and host.
  std::vector<std::vector<MemberModel>> m_queues;
};

/// Each slot has a home host. A host without a free slot requests up to three random slots from their home hosts, and
/// then queues at a slot of its own or, if it has none, at a random one. A borrowed slot stays idle while its grant and
/// its return are on the network.
class BorrowingScheme : public SharingScheme {
 public:
  BorrowingScheme(VirtualTime& time, const Deployment& deployment, RandomSource& random);

  void submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) override;

 private:
  struct Slot {
    std::size_t home = 0;
    std::size_t member = 0;
    std::unique_ptr<MemberModel> queue;
    std::size_t waiting_or_running = 0;
  };

  void request_slot(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done,
                    int requests_sent);
  void run_at(Slot& slot, std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done);

  VirtualTime& m_time;
  Deployment m_deployment;
  RandomSource& m_random;
  std::vector<std::vector<Slot>> m_slots;
};

}  // namespace teaselrudder::measure
