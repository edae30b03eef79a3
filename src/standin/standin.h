#ifndef LYCHEEPLANK_STANDIN_STANDIN_H
#define LYCHEEPLANK_STANDIN_STANDIN_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "standin/frame.h"

// Small fakes of the outside systems, for tests and demos; their protocols
// are in docs/stand-ins.md.
namespace lycheeplank::standin {

struct PlatformOptions
{
  CommonOptions common_;
  double writesPerSecond_ = 500.0;
  double readsPerSecond_ = 2000.0;
  // Age of the host list that callers see.
  absl::Duration listLag_ = absl::ZeroDuration();
  absl::Duration weightsTime_ = absl::Milliseconds(400);
  // Fetches of weights that don't slow each other down.
  std::uint32_t weightsParallel_ = 3;
};

struct EngineOptions
{
  CommonOptions common_;
  std::string model_ = "wording";
  std::string weightVersion_ = "v1";
  std::uint32_t blockTokens_ = 2000;
  std::uint32_t cacheBlocks_ = 64;
  double prefillTokensPerSecond_ = 20000.0;
  absl::Duration tokenTime_ = absl::Milliseconds(20);
  // Runs that are served at the same time; others wait.
  std::uint32_t maxRuns_ = 16;
  absl::Duration reportLag_ = absl::ZeroDuration();
  absl::Duration eventLag_ = absl::ZeroDuration();
  std::uint64_t kvBytesPerToken_ = 1000;
  // Takes orders whose fencing number is older than one it has seen.
  bool ignoreFencing_ = false;
  // Where weights are fetched; without it new weights load at once.
  std::string platformUrl_;
};

struct ServiceOptions
{
  CommonOptions common_;
  absl::Duration callTime_ = absl::Milliseconds(5);
  absl::Duration reportLag_ = absl::ZeroDuration();
};

struct StoreOptions
{
  CommonOptions common_;
  std::uint64_t memoryBytes_ = 1ULL << 30U;
  std::uint64_t diskBytes_ = 8ULL << 30U;
  double linkBytesPerSecond_ = 100e6;
  double diskBytesPerSecond_ = 50e6;
  // File with what GET /contents gave, to begin with; empty for none.
  std::string contents_;
};

std::unique_ptr<Running>
StartPlatform(const PlatformOptions& aOptions);

std::unique_ptr<Running>
StartEngine(const EngineOptions& aOptions);

std::unique_ptr<Running>
StartService(const ServiceOptions& aOptions);

std::unique_ptr<Running>
StartStore(const StoreOptions& aOptions);

} // namespace lycheeplank::standin

#endif
