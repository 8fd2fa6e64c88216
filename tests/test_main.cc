#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <string>

#include "tests/known_red.h"

namespace {

using teaselrudder::testing::find_tests;
using teaselrudder::testing::read_known_red;

// One of several processes that share the tests: this one runs those whose number leaves `index` when divided by
// `count`.
struct Shard {
  std::size_t index = 0;
  std::size_t count = 1;
};

Shard read_shard() {
  Shard shard;
  const char* const text = std::getenv("TEASELRUDDER_SHARD");
  if (text != nullptr && std::sscanf(text, "%zu/%zu", &shard.index, &shard.count) != 2) {
    std::cerr << "TEASELRUDDER_SHARD has the form index/count, not '" << text << "'\n";
    std::exit(EXIT_FAILURE);
  }
  return shard;
}

}  // namespace

/// Runs all registered tests, or those whose name contains the first argument. RapidCheck takes its fixed seed from
/// RC_PARAMS, which is set here unless the environment has it. Tests named in KNOWN-RED.txt (path in
/// TEASELRUDDER_KNOWN_RED) are printed and passed over. TEASELRUDDER_SHARD (index/count) selects a share of the tests.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261204 max_success=100", 0);
  const std::string filter = argc > 1 ? argv[1] : "";
  const std::set<std::string> known_red = read_known_red(std::getenv("TEASELRUDDER_KNOWN_RED"));

  std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  controller.addListener(&collector);
  int skipped = 0;
  const Shard shard = read_shard();
  std::size_t number = 0;
  for (CppUnit::Test* test : find_tests(*all, filter)) {
    if (number++ % shard.count != shard.index) {
      continue;
    }
    if (known_red.contains(test->getName())) {
      std::cout << "known red, passed over: " << test->getName() << '\n';
      ++skipped;
      continue;
    }
    test->run(&controller);
  }
  CppUnit::TextOutputter(&collector, std::cout).write();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed << " failed";
  if (skipped > 0) {
    std::cout << ", " << skipped << " skipped";
  }
  std::cout << std::endl;
  return collector.runTests() > 0 && failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
