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

/// Kinds of operations on the store.
enum class StoreOperationKind { kRead, kCompareAndSwap, kWatch, kHostList };

/// Progress of an operation.
enum class StoreOperationState {
  kOverBudget,  // The call budget was used up; nothing was sent.
  kConnecting,  // The connection is not established; the store cannot have received the request.
  kSent,        // The request may have reached the store.
  kCompleted,   // The response is complete.
  kFailed,      // The HTTP exchange failed.
};

/// One call to the store, or one watch: the request, its progress and the response received so far. It only records
/// what happened. Its owner, EtcdStore, inspects it after each change and decides what to do.
class StoreOperation : private HttpExchangeEvents {
 public:
  /// `id` is the StoreCallId or WatchId of the operation. `on_change` is called after new response data and when the
  /// operation has completed or failed.
  StoreOperation(StoreOperationKind kind, std::uint64_t id, std::string key, std::string value, std::string path,
                 std::string body, std::function<void()> on_change);

  /// Starts an attempt to send the request to `endpoint`, which has the index `index` in the settings. Cancels any
  /// earlier attempt.
  void start(HttpClient& client, const Endpoint& endpoint, std::size_t index, TimePoint attempt_deadline);

  /// Marks the operation as not sent because the call budget is used up.
  void mark_over_budget() { m_state = StoreOperationState::kOverBudget; }

  /// Removes the next complete line from the response and stores it in `line`. Returns false if there is none.
  bool take_line(std::string& line);

  StoreOperationKind kind() const { return m_kind; }
  std::uint64_t id() const { return m_id; }
  const std::string& key() const { return m_key; }
  const std::string& value() const { return m_value; }
  StoreOperationState state() const { return m_state; }
  int status() const { return m_status; }
  const std::string& answer() const { return m_answer; }
  bool answer_too_long() const { return m_answer_too_long; }
  const std::string& failure() const { return m_failure; }
  std::size_t endpoint_index() const { return m_endpoint_index; }
  std::size_t attempts() const { return m_attempts; }
  TimePoint attempt_deadline() const { return m_attempt_deadline; }
  /// Returns true if the request may have reached the store in any attempt.
  bool was_sent() const { return m_sent_in_any_attempt; }

  /// Time at which the operation as a whole times out. For an accepted watch, each message extends it.
  TimePoint deadline;

 private:
  void on_http_connected() override;
  void on_http_status(int status) override;
  void on_http_header(std::string_view /*name*/, std::string_view /*value*/) override {}
  void on_http_body(std::string_view bytes) override;
  void on_http_end() override;
  void on_http_failed(std::string_view reason) override;

  StoreOperationKind m_kind;
  std::uint64_t m_id;
  std::string m_key;
  std::string m_value;
  std::string m_path;
  std::string m_body;
  std::function<void()> m_on_change;
  StoreOperationState m_state = StoreOperationState::kConnecting;
  bool m_sent_in_any_attempt = false;
  int m_status = 0;
  std::string m_answer;
  // Number of bytes of m_answer that were already searched for a line end, so that a long line is searched only once.
  std::size_t m_searched_bytes = 0;
  bool m_answer_too_long = false;
  std::string m_failure;
  std::size_t m_endpoint_index = 0;
  std::size_t m_attempts = 0;
  TimePoint m_attempt_deadline;
  std::unique_ptr<HttpExchange> m_exchange;
};

}  // namespace teaselrudder
