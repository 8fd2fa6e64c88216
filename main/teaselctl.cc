#include <csignal>
#include <iostream>

#include "main/control_program.h"

int main(int argc, char** argv) {
  // Without SIGPIPE, a connection that the daemon closed is reported as unreachable.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return teaselrudder::run_control(arguments, teaselrudder::process_environment, std::cin, std::cout, std::cerr);
}
