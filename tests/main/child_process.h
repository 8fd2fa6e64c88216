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

/// A program of the build folder that runs for a test and ends with it.
class ChildProcess {
 public:
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments) {
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
      throw std::runtime_error("no pipe");
    }
    m_output = ends[0];
    const std::string path = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
    std::vector<std::string> words = {path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words) {
      argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
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

  /// Reads the output up to `field=` and returns the number behind it.
  std::uint16_t read_port(const std::string& field) {
    const std::string name = field + "=";
    std::size_t at = m_text.find(name);
    while (at == std::string::npos || m_text.find_first_of(" \n", at) == std::string::npos) {
      char character = 0;
      if (read(m_output, &character, 1) != 1) {
        throw std::runtime_error("the program ended before it printed " + name);
      }
      m_text += character;
      at = m_text.find(name);
    }
    return static_cast<std::uint16_t>(std::stoul(m_text.substr(at + name.size())));
  }

  void send_signal(int number) const { kill(m_pid, number); }

  /// Waits for the end and returns the exit code, or -1 after a signal.
  int wait() {
    int status = 0;
    waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t m_pid = -1;
  int m_output = -1;
  std::string m_text;
};

}  // namespace teaselrudder::testing
