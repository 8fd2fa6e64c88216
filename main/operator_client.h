#pragma once

#include <memory>
#include <string>

#include "core/ids.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// A daemon's answer to an operator's command.
struct OperatorReply {
  int status = 0;
  std::string body;
};

/// Sends operators' commands to a daemon over HTTP/1.1, one at a time, and waits for each answer.
class OperatorClient {
 public:
  explicit OperatorClient(Endpoint daemon);
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;
  ~OperatorClient();

  /// Sends a command. The error says in one line why no complete answer came; the command may then have taken effect.
  tl::expected<OperatorReply, std::string> send(const std::string& command, bool check_only);

 private:
  class Exchange;
  struct Loop;

  Endpoint m_daemon;
  std::unique_ptr<Loop> m_loop;
};

}  // namespace teaselrudder
