#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/metrics/counters.h"
#include "core/ports/operator_port.h"
#include "servers/configuration/configuration_manager.h"
#include "servers/operator/configuration_edit.h"
#include "servers/operator/operator_view.h"

namespace teaselrudder {

/// Executes operators' commands and answers them in JSON.
class CommandService : public OperatorEvents {
 public:
  /// All references must outlive the service.
  CommandService(const OperatorView& view, ConfigurationManager& manager, OperatorPort& operators, Counters& counters);

  void on_operator_command(OperatorRequestId request, std::string command, bool check_only, TimePoint now) override;

  /// Answers the command that started `change`. Changes started elsewhere are ignored.
  void on_change_finished(ChangeNumber change, const ChangeOutcome& outcome);

 private:
  struct OpenChange {
    OperatorRequestId request;
    std::vector<ConfigurationDifference> differences;
  };

  void run_query(OperatorRequestId request, const ShowQuery& query, TimePoint now);
  void run_change(OperatorRequestId request, const ChangeCommand& command, bool check_only, TimePoint now);
  void refuse(OperatorRequestId request, const ChangeError& error);
  void reject(OperatorRequestId request, RefusalReason reason, const CommandError& error);

  const OperatorView& m_view;
  ConfigurationManager& m_configuration_manager;
  OperatorPort& m_operators;
  Counters& m_counters;
  std::map<ChangeNumber, OpenChange> m_open;
};

}  // namespace teaselrudder
