#include "servers/sessions/caller_memory_budget.h"

namespace teaselrudder {

void CallerMemoryBudget::set_held(SessionId session, std::size_t bytes) {
  const auto found = m_sessions.find(session);
  const std::size_t before = found == m_sessions.end() ? 0 : found->second;
  if (before == bytes) {
    return;
  }
  m_held_bytes = m_held_bytes - before + bytes;
  m_by_size.erase({before, session});
  if (bytes == 0) {
    m_sessions.erase(found);
    return;
  }
  m_sessions[session] = bytes;
  m_by_size.insert({bytes, session});
}

std::optional<SessionId> CallerMemoryBudget::session_to_close() const {
  return m_held_bytes <= m_limit_bytes || m_by_size.empty() ? std::nullopt : std::optional(m_by_size.rbegin()->second);
}

}  // namespace teaselrudder
