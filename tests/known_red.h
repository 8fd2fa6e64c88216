#pragma once

#include <cppunit/Test.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

namespace teaselrudder::testing {

/// Returns the names of the tests listed in the file at `path`: the second word of each line that begins with
/// `test: `. A null path or an absent file lists none.
inline std::set<std::string> read_known_red(const char* path) {
  std::set<std::string> names;
  if (path == nullptr) {
    return names;
  }
  const std::string prefix = "test: ";
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(prefix)) {
      names.insert(line.substr(prefix.size()));
    }
  }
  return names;
}

/// Returns the single tests below `test` whose name contains `filter`.
inline std::vector<CppUnit::Test*> find_tests(CppUnit::Test& test, const std::string& filter) {
  std::vector<CppUnit::Test*> found;
  if (test.getChildTestCount() == 0) {
    const bool wanted = test.countTestCases() > 0 && test.getName().find(filter) != std::string::npos;
    return wanted ? std::vector<CppUnit::Test*>{&test} : found;
  }
  for (int index = 0; index < test.getChildTestCount(); ++index) {
    const std::vector<CppUnit::Test*> below = find_tests(*test.getChildTestAt(index), filter);
    found.insert(found.end(), below.begin(), below.end());
  }
  return found;
}

}  // namespace teaselrudder::testing
