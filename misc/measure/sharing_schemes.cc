#include "misc/measure/sharing_schemes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselrudder::measure {

namespace {

/// Number of slots that a borrowing host requests before it queues.
constexpr int kMaxSlotRequests = 3;

/// A service time that is longer than any run.
constexpr Duration kEndlessServiceTime = std::chrono::hours(24);

std::unique_ptr<QueuePolicy> make_policy(OwnerPolicy policy, std::uint32_t slots, double estimate_factor = 1) {
  if (policy == OwnerPolicy::kNaive) {
    return std::make_unique<FifoPolicy>(slots);
  }
  return std::make_unique<MemberQueuePolicy>(slots, estimate_factor);
}

}  // namespace

OwnerScheme::OwnerScheme(VirtualTime& time, const Deployment& deployment, OwnerPolicy policy, double estimate_factor)
    : m_time(time), m_deployment(deployment), m_policy(policy), m_next_member(deployment.groups) {
  for (std::size_t group = 0; group < deployment.groups; ++group) {
    std::vector<MemberModel>& members = m_members.emplace_back();
    for (std::size_t member = 0; member < deployment.members; ++member) {
      members.emplace_back(time, make_policy(policy, deployment.slots, estimate_factor), 2 * deployment.near_hop);
    }
  }
}

void OwnerScheme::hang_one_slot_of_each_member() {
  Work work;
  work.shape = "hanging";
  work.service = kEndlessServiceTime;
  work.deadline = m_time.now() + std::chrono::seconds(1);
  for (std::vector<MemberModel>& members : m_members) {
    for (MemberModel& member : members) {
      member.submit(work, Duration::zero(), Duration::zero(), [](WorkResult, Duration) {});
    }
  }
}

std::size_t OwnerScheme::choose_member(std::size_t domain, std::size_t group, Urgency urgency) {
  if (m_policy == OwnerPolicy::kNaive) {
    return m_next_member[group]++ % m_deployment.members;
  }
  std::size_t best = 0;
  Duration shortest = Duration::max();
  for (std::size_t member = 0; member < m_deployment.members; ++member) {
    const Duration delay_to_member = m_deployment.distance(domain, m_deployment.domain_of_member(group, member));
    const Duration total = 2 * delay_to_member + m_members[group][member].expected_wait(urgency);
    if (total < shortest) {
      best = member;
      shortest = total;
    }
  }
  return best;
}

/// Returns the one-way delay: one hop to the owner in the host's failure domain, unless the host is that owner, and one
/// to the owner in the member's failure domain, if that is another one.
Duration OwnerScheme::one_way_delay(std::size_t host, std::size_t group, std::size_t member) const {
  const std::size_t domain = m_deployment.domain_of_host(host);
  const std::size_t hosts_here =
      (m_deployment.hosts + m_deployment.failure_domains - 1 - domain) / m_deployment.failure_domains;
  const bool is_owner = (host / m_deployment.failure_domains) == group % hosts_here;
  const std::size_t member_domain = m_deployment.domain_of_member(group, member);
  const Duration to_owner = is_owner ? Duration::zero() : m_deployment.near_hop;
  return to_owner + (domain == member_domain ? Duration::zero() : m_deployment.far_hop);
}

void OwnerScheme::submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) {
  const std::size_t member = choose_member(m_deployment.domain_of_host(host), group, work.urgency);
  const Duration one_way = one_way_delay(host, group, member);
  m_time.after(one_way, [this, group, member, work, done, one_way] {
    m_members[group][member].submit(work, Duration::zero(), Duration::zero(),
                                    [this, done, one_way](WorkResult result, Duration retry) {
                                      m_time.after(one_way, [done, result, retry] { done(result, retry); });
                                    });
  });
}

FixedShareScheme::FixedShareScheme(VirtualTime& time, const Deployment& deployment)
    : m_time(time),
      m_deployment(deployment),
      m_share(static_cast<double>(deployment.group_slots()) / static_cast<double>(deployment.hosts)) {
  for (std::size_t group = 0; group < deployment.groups; ++group) {
    std::vector<MemberModel>& queues = m_queues.emplace_back();
    for (std::size_t host = 0; host < deployment.hosts; ++host) {
      const std::size_t remainder = host < deployment.group_slots() % deployment.hosts ? 1 : 0;
      const std::size_t slots = deployment.group_slots() / deployment.hosts + remainder;
      const auto running = static_cast<std::uint32_t>(m_share < 1 ? 1 : slots);
      const std::size_t domain = deployment.domain_of_member(group, host % deployment.members);
      const Duration overhead = 2 * deployment.distance(deployment.domain_of_host(host), domain);
      queues.emplace_back(time, make_policy(OwnerPolicy::kMemberQueue, running), overhead);
    }
  }
}

void FixedShareScheme::submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) {
  const std::size_t hosts_of_member = m_deployment.hosts / m_deployment.members;
  const bool keeps_connection = hosts_of_member <= m_deployment.connections;
  const Duration busy = work.service + (keeps_connection ? Duration::zero() : m_deployment.connect_cost);
  const double pause_factor = m_share < 1 ? 1 / m_share - 1 : 0;
  const Duration pause(std::llround(static_cast<double>(busy.count()) * pause_factor));
  // The answer is sent before the pause, which delays only the next statement.
  m_queues[group][host].submit(work, busy - work.service, pause,
                               [done](WorkResult result, Duration retry) { done(result, retry); });
}

BorrowingScheme::BorrowingScheme(VirtualTime& time, const Deployment& deployment, RandomSource& random)
    : m_time(time), m_deployment(deployment), m_random(random) {
  for (std::size_t group = 0; group < deployment.groups; ++group) {
    std::vector<Slot>& slots = m_slots.emplace_back();
    for (std::size_t index = 0; index < deployment.group_slots(); ++index) {
      Slot slot;
      slot.home = index % deployment.hosts;
      slot.member = index % deployment.members;
      slot.queue = std::make_unique<MemberModel>(time, make_policy(OwnerPolicy::kMemberQueue, 1), Duration::zero());
      slots.push_back(std::move(slot));
    }
  }
}

void BorrowingScheme::submit(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done) {
  for (Slot& slot : m_slots[group]) {
    if (slot.home == host && slot.waiting_or_running == 0) {
      run_at(slot, host, group, work, done);
      return;
    }
  }
  request_slot(host, group, work, done, 0);
}

void BorrowingScheme::request_slot(std::size_t host, std::size_t group, const Work& work, const MemberModel::Done& done,
                                   int requests_sent) {
  Slot* slot = &m_slots[group][m_random.uniform_index(m_slots[group].size())];
  if (requests_sent == kMaxSlotRequests) {
    const auto own_slot = std::find_if(m_slots[group].begin(), m_slots[group].end(),
                                       [host](const Slot& candidate) { return candidate.home == host; });
    slot = own_slot != m_slots[group].end() ? &*own_slot : slot;
  }
  const Duration hop =
      m_deployment.distance(m_deployment.domain_of_host(host), m_deployment.domain_of_host(slot->home));
  m_time.after(slot->home == host ? Duration::zero() : hop, [this, slot, host, group, work, done, requests_sent, hop] {
    if (slot->waiting_or_running == 0 || requests_sent == kMaxSlotRequests) {
      run_at(*slot, host, group, work, done);
      return;
    }
    m_time.after(hop, [this, host, group, work, done, requests_sent] {
      request_slot(host, group, work, done, requests_sent + 1);
    });
  });
}

void BorrowingScheme::run_at(Slot& slot, std::size_t host, std::size_t group, const Work& work,
                             const MemberModel::Done& done) {
  const std::size_t host_domain = m_deployment.domain_of_host(host);
  const Duration to_member = m_deployment.distance(host_domain, m_deployment.domain_of_member(group, slot.member));
  Duration held = 2 * to_member;
  if (slot.home != host) {
    const bool keeps_connection = m_deployment.hosts <= m_deployment.connections;
    const Duration connect = keeps_connection ? Duration::zero() : m_deployment.connect_cost;
    held += connect + 2 * m_deployment.distance(host_domain, m_deployment.domain_of_host(slot.home));
  }
  ++slot.waiting_or_running;
  slot.queue->submit(work, held, Duration::zero(), [&slot, done](WorkResult result, Duration retry) {
    --slot.waiting_or_running;
    done(result, retry);
  });
}

}  // namespace teaselrudder::measure
