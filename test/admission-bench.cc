#include "lycheeplank/admission.h"

#include <benchmark/benchmark.h>

#include "lycheeplank/membership.h"

namespace admission = lycheeplank::admission;
namespace membership = lycheeplank::membership;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1700000000);
constexpr std::int64_t kWaitingPerWorkspace = 4;

admission::Request
MakeRequest(std::uint64_t aId, std::int64_t aWorkspace)
{
  admission::Request request;
  request.id_ = aId;
  request.workspace_ = "workspace-" + std::to_string(aWorkspace);
  request.deadline_ = kStart + absl::Hours(10);
  return request;
}

// Measures admitting, starting and ending one request while requests of all
// workspaces wait.
void
AdmitAndStart(benchmark::State& aState)
{
  const std::int64_t workspaces = aState.range(0);
  const admission::Quota quota{ 1.0, 64, 256, 1e6 };
  admission::State state;
  state.slots_ = 64;
  std::uint64_t id = 0;
  for (std::int64_t i = 0; i < workspaces * kWaitingPerWorkspace; ++i) {
    admission::Admit(state, MakeRequest(++id, i % workspaces), quota, kStart);
  }
  for (auto step : aState) {
    (void)step;
    ++id;
    const auto request =
      MakeRequest(id, static_cast<std::int64_t>(id) % workspaces);
    benchmark::DoNotOptimize(admission::Admit(state, request, quota, kStart));
    const auto next = admission::StartNext(state, kStart);
    admission::FinishRequest(state, next->id_, kStart + absl::Seconds(1));
  }
}
BENCHMARK(AdmitAndStart)->Arg(10)->Arg(42000);

// Measures ranking the entry hosts for a workspace.
void
RankEntries(benchmark::State& aState)
{
  membership::State state = membership::MakeInitialState(
    { "host0", "10.0.0.1:1", "10.0.0.1:2" }, {}, kStart);
  for (std::int64_t i = 1; i < aState.range(0); ++i) {
    const std::string name = "host" + std::to_string(i);
    state.members_[name].state_ = { name, "10.0.0.1:1", "10.0.0.1:2" };
  }
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(membership::EntriesFor(state, "workspace-17", 3));
  }
}
BENCHMARK(RankEntries)->Arg(8)->Arg(350);

} // namespace
