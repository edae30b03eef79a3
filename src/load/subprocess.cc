#include "load/subprocess.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace lycheeplank::load {

core::Result<void>
RunProgram(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> texts = aArguments;
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  const std::string line = absl::StrJoin(aArguments, " ");
  pid_t pid = 0;
  if (posix_spawnp(
        &pid, arguments[0], nullptr, nullptr, arguments.data(), environ) != 0) {
    return core::Fail({ core::ErrorKind::NotFound,
                        absl::StrCat("can't start: ", line),
                        "run this from the root of the repository" });
  }
  int status = 0;
  if (waitpid(pid, &status, 0) != pid || !WIFEXITED(status) ||
      WEXITSTATUS(status) != 0) {
    return core::Fail({ core::ErrorKind::Internal,
                        absl::StrCat("command failed: ", line),
                        "see its output above" });
  }
  return {};
}

} // namespace lycheeplank::load
