#include "process/child.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace rosearch::test {
namespace {

constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;
constexpr int kLogMode = 0600;

}  // namespace

child::child(const std::vector<std::string>& command, const std::string& log) : log_{log} {
  std::vector<char*> words;
  words.reserve(command.size() + 1);
  for (const auto& word : command) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  PCHECK(file >= 0) << log;
  pid_ = fork();
  PCHECK(pid_ >= 0);
  if (pid_ == 0) {
    // A test program that crashes runs no destructor; its processes must end all the same.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(file, STDERR_FILENO);
    dup2(file, STDOUT_FILENO);
    execv(words.front(), words.data());
    _exit(kExecFailed);
  }
  close(file);
}

child::~child() { Kill(); }

void child::Signal(int number) const {
  if (!exit_code_) {
    PCHECK(kill(pid_, number) == 0) << "pid " << pid_;
  }
}

void child::Kill() {
  if (ExitCode()) {
    return;
  }
  killed_ = true;
  Signal(SIGKILL);
  int status = 0;
  PCHECK(waitpid(pid_, &status, 0) == pid_);
  exit_code_ = kSignalBase + SIGKILL;
}

std::optional<int> child::ExitCode() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  }
  return exit_code_;
}

}  // namespace rosearch::test
