#include <cstddef>
#include <cstdint>

#include <absl/strings/string_view.h>

#include "lycheeplank/config.h"
#include "lycheeplank/config_sync.h"

// Passes the fuzzer's input to the parsers of configuration documents and heads
// (libFuzzer entry point).
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace lycheeplank;
  const absl::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto document = config::Split(text);
  const auto checked = config::Check(document.sections_);
  for (const auto& problem : checked.problems_) {
    config::Describe(problem);
  }
  const auto again = config::Split(config::Join(document.sections_));
  config::Check(again.sections_);
  config::ParseHead(text);
  return 0;
}
