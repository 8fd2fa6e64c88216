#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace teaselrudder::testing {

/// A program of the build directory that a test runs as a child process. The destructor kills it if it still runs.
class ChildProcess {
 public:
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments) {
    int pipe_ends[2] = {-1, -1};
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
      throw std::runtime_error("cannot create a pipe");
    }
    m_output = pipe_ends[0];
    const std::string path = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
    std::vector<std::string> argument_strings = {path};
    argument_strings.insert(argument_strings.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(argument_strings.size() + 1);
    for (std::string& argument : argument_strings) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    if (error != 0) {
      throw std::runtime_error("cannot start " + path);
    }
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
    close(m_output);
  }

  /// Reads the program's standard output until `field=` and a number were printed and returns the number. Throws if the
  /// program ends before.
  std::uint16_t read_port(const std::string& field) {
    const std::string name = field + "=";
    std::size_t position = m_read_output.find(name);
    while (position == std::string::npos || m_read_output.find_first_of(" \n", position) == std::string::npos) {
      char character = 0;
      if (read(m_output, &character, 1) != 1) {
        throw std::runtime_error("the program ended before it printed " + name);
      }
      m_read_output += character;
      position = m_read_output.find(name);
    }
    return static_cast<std::uint16_t>(std::stoul(m_read_output.substr(position + name.size())));
  }

  void send_signal(int number) const { kill(m_pid, number); }

  /// Waits until the program ends. Returns its exit code, or -1 if a signal ended it.
  int wait() {
    int status = 0;
    waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t m_pid = -1;
  int m_output = -1;
  std::string m_read_output;
};

}  // namespace teaselrudder::testing
