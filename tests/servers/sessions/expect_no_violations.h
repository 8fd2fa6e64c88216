#pragma once

#include <cppunit/TestAssert.h>

#include <string>
#include <vector>

#include "tests/model/session_world.h"

namespace teaselrudder {

/// Fails with the first broken guarantee that the checker of `world` found, if there is one.
inline void expect_no_violations(const model::SessionWorld& world) {
  const std::vector<std::string> violations = world.violations();
  CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
}

}  // namespace teaselrudder
