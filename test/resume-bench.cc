#include "lycheeplank/resume.h"

#include <benchmark/benchmark.h>

namespace resume = lycheeplank::resume;

namespace {

// One token is signed for each event of a stream.
void
BenchTokenAt(benchmark::State& aState)
{
  const resume::Signer signer("0123456789abcdef",
                              { "co-operative",
                                "engine-1",
                                "0123456789abcdef0123456789abcdef-1",
                                "0123456789abcdef0123456789abcdef" });
  std::uint64_t index = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(signer.TokenAt(++index));
  }
}
BENCHMARK(BenchTokenAt);

} // namespace
