#pragma once

#include <memory>
#include <string>

#include "core/ids.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// A daemon's HTTP response to an operator's command.
struct OperatorReply {
  int status = 0;
  std::string body;
};

/// Sends operators' commands to a daemon over HTTP/1.1, one at a time, and blocks until each is answered.
class OperatorClient {
 public:
  explicit OperatorClient(Endpoint daemon);
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;
  ~OperatorClient();

  /// Sends a command and returns the answer. With `check_only` the daemon validates the command without applying it.
  /// The error says in one line why there is no complete answer; the command may nevertheless have taken effect.
  tl::expected<OperatorReply, std::string> send(const std::string& command, bool check_only);

 private:
  class Exchange;
  struct ClientLoop;

  Endpoint m_daemon;
  std::unique_ptr<ClientLoop> m_loop;
};

}  // namespace teaselrudder
