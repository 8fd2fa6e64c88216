#include <gflags/gflags.h>
#include <unistd.h>

#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>

#include "tests/soak/soak_run.h"

DEFINE_uint64(seed, 1, "seed of the random faults and callers");
DEFINE_uint64(faults, 12, "number of faults to inject");
DEFINE_uint64(hosts, 4, "number of hosts, 2 to 64");
DEFINE_uint64(callers, 24, "number of concurrent caller sessions, 1 to 10000");
DEFINE_bool(unfenced, false,
            "a replaced primary goes on until it is told to step down, and outdated promotion tokens are accepted");
DEFINE_bool(restored, false, "the platform's store may come back from an older copy");
DEFINE_bool(odd, false, "statements of callers contain blanks where the line protocol allows them");
DEFINE_bool(removing, false, "hosts are also stopped or killed for good, until one is left");
DEFINE_string(folder, "",
              "folder for the settings and logs of the hosts; empty: a temporary folder, kept if the run fails");
DEFINE_bool(print_faults, false, "print each fault");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("injects faults into real host processes and checks the guarantees to callers");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_hosts < 2 || FLAGS_hosts > 64 || FLAGS_callers < 1 || FLAGS_callers > 10000) {
    std::cerr << "soak: --hosts or --callers is out of range\n";
    return 2;
  }
  // Writing to a connection of a killed host must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  namespace fs = std::filesystem;
  const fs::path program_path = fs::read_symlink("/proc/self/exe");
  const bool temporary = FLAGS_folder.empty();
  const fs::path folder =
      temporary ? fs::temp_directory_path() / ("soak-" + std::to_string(FLAGS_seed) + "-" + std::to_string(getpid()))
                : fs::path(FLAGS_folder);
  try {
    fs::create_directories(folder);
    teaselrudder::soak::SoakSettings settings;
    settings.seed = FLAGS_seed;
    settings.faults = FLAGS_faults;
    settings.hosts = FLAGS_hosts;
    settings.callers = FLAGS_callers;
    settings.fenced = !FLAGS_unfenced;
    settings.restores_store = FLAGS_restored;
    settings.odd_texts = FLAGS_odd;
    settings.removes_hosts = FLAGS_removing;
    settings.program = (program_path.parent_path() / "teaselrudder-platform").string();
    settings.folder = folder.string();
    settings.prints_faults = FLAGS_print_faults;
    std::vector<std::string> violations;
    std::string summary;
    {
      teaselrudder::soak::SoakRun run(settings);
      violations = run.run();
      summary = run.summary();
    }
    for (const std::string& line : violations) {
      std::cout << line << '\n';
    }
    std::cout << "soak: " << summary << " broken=" << violations.size();
    if (!violations.empty()) {
      std::cout << " logs=" << folder.string();
    } else if (temporary) {
      fs::remove_all(folder);
    }
    std::cout << std::endl;
    return violations.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return 2;
  }
}
