#include "drivers/store/store_operation.h"

#include <utility>

#include "drivers/store/etcd_json.h"

namespace teaselrudder {

StoreOperation::StoreOperation(StoreOperationKind kind, std::uint64_t id, std::string key, std::string value,
                               std::string path, std::string body, std::function<void()> on_change)
    : m_kind(kind),
      m_id(id),
      m_key(std::move(key)),
      m_value(std::move(value)),
      m_path(std::move(path)),
      m_body(std::move(body)),
      m_on_change(std::move(on_change)) {}

void StoreOperation::start(HttpClient& client, const Endpoint& endpoint, std::size_t index,
                           TimePoint attempt_deadline) {
  m_exchange.reset();
  ++m_attempts;
  m_endpoint_index = index;
  m_attempt_deadline = attempt_deadline;
  m_state = StoreOperationState::kConnecting;
  m_exchange = client.post(endpoint, m_path, m_body, *this);
  if (m_exchange == nullptr) {
    on_http_failed("the address of the endpoint is not an IPv4 address");
  }
}

bool StoreOperation::take_line(std::string& line) {
  const std::size_t end = m_answer.find('\n', m_searched_bytes);
  if (end == std::string::npos) {
    m_searched_bytes = m_answer.size();
    return false;
  }
  line = m_answer.substr(0, end);
  m_answer.erase(0, end + 1);
  m_searched_bytes = 0;
  return true;
}

void StoreOperation::on_http_connected() {
  m_sent_in_any_attempt = true;
  m_state = StoreOperationState::kSent;
}

void StoreOperation::on_http_status(int status) { m_status = status; }

void StoreOperation::on_http_body(std::string_view bytes) {
  if (m_answer.size() + bytes.size() > kMaxStoreAnswerBytes) {
    m_answer_too_long = true;
  } else {
    m_answer += bytes;
  }
  m_on_change();
}

void StoreOperation::on_http_end() {
  m_state = StoreOperationState::kCompleted;
  m_on_change();
}

void StoreOperation::on_http_failed(std::string_view reason) {
  m_failure = reason;
  m_state = StoreOperationState::kFailed;
  m_on_change();
}

}  // namespace teaselrudder
