#include "servers/failover/control_links.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace teaselrudder {

ControlLinks::ControlLinks(MemberLinkPort& links, MemberReportReader read_report, Receiver receiver)
    : m_port(links), m_read_report(read_report), m_receiver(std::move(receiver)) {}

bool ControlLinks::command(const GroupId& group, const MemberEntry& member, MemberCommandKind kind, Term term,
                           TimePoint now) {
  Link& link = m_links[member.member];
  if (link.busy) {
    return false;
  }
  if (link.connection != ConnectionId() && link.endpoint != member.endpoint) {
    m_port.close_link(link.connection);
    link = {};
  }
  link.busy = true;
  link.command = make_internal_command(kind, term);
  link.sent_at = now;
  link.group = group;
  if (link.open) {
    m_port.send(link.connection, {link.command});
    return true;
  }
  link.endpoint = member.endpoint;
  link.connection = ConnectionId(m_next_id++);
  m_port.open_link(link.connection, {group, member.member, member.endpoint}, *this);
  return true;
}

void ControlLinks::on_tick(TimePoint now) {
  std::vector<MemberId> overdue;
  for (const auto& [member, link] : m_links) {
    if (link.busy && link.sent_at + kTimeout <= now) {
      overdue.push_back(member);
    }
  }
  for (const MemberId& member : overdue) {
    const auto link = m_links.find(member);
    if (link != m_links.end() && link->second.busy) {
      m_port.close_link(link->second.connection);
      fail(link, false, now);
    }
  }
}

void ControlLinks::close_idle(const std::function<bool(const MemberId&)>& keep) {
  std::erase_if(m_links, [&](const auto& entry) {
    if (entry.second.busy || keep(entry.first)) {
      return false;
    }
    m_port.close_link(entry.second.connection);
    return true;
  });
}

std::map<MemberId, ControlLinks::Link>::iterator ControlLinks::find(ConnectionId connection) {
  return std::find_if(m_links.begin(), m_links.end(),
                      [connection](const auto& entry) { return entry.second.connection == connection; });
}

void ControlLinks::fail(std::map<MemberId, Link>::iterator link, bool answered, TimePoint now) {
  const ControlOutcome outcome{link->second.group, link->first, link->second.command.kind,
                               std::nullopt,       answered,    link->second.sent_at};
  const bool was_busy = link->second.busy;
  m_links.erase(link);
  if (was_busy) {
    m_receiver(outcome, now);
  }
}

void ControlLinks::on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) {
  const auto link = find(connection);
  if (link == m_links.end()) {
    return;
  }
  if (!outcome.has_value()) {
    fail(link, outcome.error().kind == MemberLinkErrorKind::kTooManyConnections, now);
    return;
  }
  link->second.open = true;
  m_port.send(connection, {link->second.command});
}

void ControlLinks::on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) {
  const auto link = find(connection);
  if (link == m_links.end() || !link->second.busy) {
    return;
  }
  const ControlOutcome outcome{link->second.group,   link->first, link->second.command.kind,
                               m_read_report(reply), true,        link->second.sent_at};
  link->second.busy = false;
  m_receiver(outcome, now);
}

void ControlLinks::on_link_closed(ConnectionId connection, TimePoint now) {
  const auto link = find(connection);
  if (link != m_links.end()) {
    fail(link, false, now);
  }
}

}  // namespace teaselrudder
