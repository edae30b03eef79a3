#include "load/files.h"

#include <filesystem>
#include <fstream>
#include <system_error>

#include <absl/strings/str_cat.h>

namespace lycheeplank::load {

core::Result<void>
WriteFile(const std::string& aDir,
          const std::string& aName,
          absl::string_view aContent)
{
  std::error_code error;
  std::filesystem::create_directories(aDir, error);
  std::ofstream file(std::filesystem::path(aDir) / aName);
  file.write(aContent.data(), static_cast<std::streamsize>(aContent.size()));
  file.close();
  if (error || !file) {
    return core::Fail({ core::ErrorKind::Internal,
                        absl::StrCat("can't write ", aName, " in ", aDir),
                        "use a writable folder" });
  }
  return {};
}

} // namespace lycheeplank::load
