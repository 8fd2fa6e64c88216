#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports/store_port.h"
#include "drivers/store/http_client.h"

namespace teaselrudder {

/// What an operation on the store is.
enum class StoreOperationKind { kRead, kSwap, kWatch, kHostList };

/// How far an operation is.
enum class StoreOperationState {
  kRefused,     // The budget was used up; nothing is sent.
  kConnecting,  // No connection yet; the store cannot have received anything.
  kSent,        // The request may have reached the store.
  kEnded,       // The answer is complete.
  kFailed,      // The exchange failed.
};

/// One call to the store, or one watch: the request, its progress and the answer so far. It decides nothing; its owner
/// looks at it when woken.
class StoreOperation : private HttpExchangeEvents {
 public:
  /// `id` is that of the call or watch. `wake` is called after each change of the state or the answer.
  StoreOperation(StoreOperationKind kind, std::uint64_t id, std::string key, std::string value, std::string path,
                 std::string body, std::function<void()> wake);

  /// Starts an attempt at `endpoint`, which is number `index` of the endpoints; any earlier attempt is given up.
  void start(HttpClient& client, const Endpoint& endpoint, std::size_t index, TimePoint attempt_deadline);

  /// Marks an operation that is over budget.
  void refuse() { m_state = StoreOperationState::kRefused; }

  /// Takes the next complete line of the answer. Returns false if there is none.
  bool take_line(std::string& line);

  StoreOperationKind kind() const { return m_kind; }
  std::uint64_t id() const { return m_id; }
  const std::string& key() const { return m_key; }
  const std::string& value() const { return m_value; }
  StoreOperationState state() const { return m_state; }
  int status() const { return m_status; }
  const std::string& answer() const { return m_answer; }
  bool answer_too_long() const { return m_too_long; }
  const std::string& failure() const { return m_failure; }
  std::size_t endpoint_index() const { return m_endpoint_index; }
  std::size_t attempts() const { return m_attempts; }
  TimePoint attempt_deadline() const { return m_attempt_deadline; }
  /// True if the request may have reached the store in any attempt.
  bool was_sent() const { return m_sent; }

  /// When the operation has taken too long as a whole; for a watch, when it has been silent for too long.
  TimePoint deadline;

 private:
  void on_http_connected() override;
  void on_http_status(int status) override;
  void on_http_body(std::string_view bytes) override;
  void on_http_end() override;
  void on_http_failed(std::string_view reason) override;

  StoreOperationKind m_kind;
  std::uint64_t m_id;
  std::string m_key;
  std::string m_value;
  std::string m_path;
  std::string m_body;
  std::function<void()> m_wake;
  StoreOperationState m_state = StoreOperationState::kConnecting;
  bool m_sent = false;
  int m_status = 0;
  std::string m_answer;
  // Where the search for the end of the next line goes on, so that a long line is searched once.
  std::size_t m_searched = 0;
  bool m_too_long = false;
  std::string m_failure;
  std::size_t m_endpoint_index = 0;
  std::size_t m_attempts = 0;
  TimePoint m_attempt_deadline;
  std::unique_ptr<HttpExchange> m_exchange;
};

}  // namespace teaselrudder
