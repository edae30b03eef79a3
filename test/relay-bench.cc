#include "entry/relay.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

namespace entry = lycheeplank::entry;
namespace net = lycheeplank::net;
namespace resume = lycheeplank::resume;

namespace {

// A caller's connection that accepts all data at once.
class NullExchange final : public net::Exchange
{
public:
  void Reply(int, std::vector<net::Field>, std::string) override {}
  void BeginStream(int, std::vector<net::Field>) override {}
  bool Write(absl::string_view aData) override
  {
    benchmark::DoNotOptimize(aData.data());
    return true;
  }
  void End() override {}
  void Abort() override {}
  void OnClosed(std::function<void()>) override {}
  std::size_t Backlog() override { return 0; }
};

// Relays tokens; the argument is the number of tokens per chunk of data.
void
BenchRelayTokens(benchmark::State& aState)
{
  const std::string request = "0123456789abcdef0123456789abcdef";
  entry::Relay relay(
    { request, "wording", true, 0 },
    std::make_shared<NullExchange>(),
    resume::Signer("0123456789abcdef",
                   { "co-operative", "engine-1", request + "-1", request }));
  std::uint64_t index = 0;
  for (auto _ : aState) {
    std::string data;
    for (std::int64_t i = 0; i < aState.range(0); ++i) {
      absl::StrAppend(
        &data, "data: {\"index\":", index++, ",\"text\":\" graduate\"}\n\n");
    }
    relay.Feed(data);
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(index));
}
BENCHMARK(BenchRelayTokens)->Arg(1)->Arg(4);

} // namespace
