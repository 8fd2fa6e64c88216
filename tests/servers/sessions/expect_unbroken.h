#pragma once

#include <cppunit/TestAssert.h>

#include <string>
#include <vector>

#include "tests/model/session_world.h"

namespace teaselrudder {

/// Fails with the first broken guarantee that the checker of `world` found, if there is one.
inline void expect_unbroken(const model::SessionWorld& world) {
  const std::vector<std::string> broken = world.broken();
  CPPUNIT_ASSERT_MESSAGE(broken.empty() ? "" : broken.front(), broken.empty());
}

}  // namespace teaselrudder
