#ifndef LYCHEEPLANK_STANDIN_STANDIN_H
#define LYCHEEPLANK_STANDIN_STANDIN_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "standin/server.h"

// Fakes of the outside systems, for tests and demos. docs/stand-ins.md
// describes their protocols.
namespace lycheeplank::standin {

struct PlatformOptions
{
  CommonOptions common_;
  double writesPerSecond_ = 500.0;
  double readsPerSecond_ = 2000.0;
  // The delay after which callers see a change of the host list.
  absl::Duration hostListLag_ = absl::ZeroDuration();
  // The duration of a weight fetch without contention.
  absl::Duration weightFetchTime_ = absl::Milliseconds(400);
  // The number of concurrent weight fetches above which they slow down.
  std::uint32_t parallelWeightFetches_ = 3;
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
  // The maximum number of concurrent runs; further runs wait.
  std::uint32_t maxRuns_ = 16;
  // The period of load reports and the delay of cache events.
  absl::Duration reportLag_ = absl::ZeroDuration();
  absl::Duration eventLag_ = absl::ZeroDuration();
  std::uint64_t kvBytesPerToken_ = 1000;
  // Whether orders are accepted whose fencing token is lower than the highest
  // one received.
  bool ignoreFencing_ = false;
  // The platform that weights are fetched from; if empty, new weights load
  // immediately.
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
  // A file with the response of GET /contents, loaded at the start; empty for
  // none.
  std::string contentsFile_;
};

std::unique_ptr<StandinServer>
StartPlatform(const PlatformOptions& aOptions);

std::unique_ptr<StandinServer>
StartEngine(const EngineOptions& aOptions);

std::unique_ptr<StandinServer>
StartService(const ServiceOptions& aOptions);

std::unique_ptr<StandinServer>
StartStore(const StoreOptions& aOptions);

} // namespace lycheeplank::standin

#endif
