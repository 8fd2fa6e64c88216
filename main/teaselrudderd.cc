#include <iostream>

#include "main/daemon.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return teaselrudder::run_daemon(arguments, teaselrudder::process_environment, teaselrudder::make_host, std::cout,
                                  std::cerr);
}
