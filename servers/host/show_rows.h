#pragma once

#include <vector>

#include "servers/operator/operator_view.h"

namespace teaselrudder {

class EntryHost;

/// Returns the rows of the operator command SHOW for `target`, from the state of `host`.
std::vector<CellRow> show_host_rows(const EntryHost& host, ShowTarget target, TimePoint now);

}  // namespace teaselrudder
