#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "gateway-world.h"

namespace fleet = lycheeplank::fleet;
namespace gateway = lycheeplank::gateway;
namespace test = lycheeplank::test;

namespace {

constexpr int kTargets = 112;

// A caller that sends one request after the other on one connection.
class Caller
{
public:
  Caller(gateway::Loop& aLoop, const gateway::Tcp::endpoint& aAddress)
    : loop_(aLoop)
  {
    gateway::Connect(aLoop,
                     aAddress,
                     absl::Seconds(1),
                     [this](std::shared_ptr<gateway::Socket> aSocket, auto) {
                       socket_ = std::move(aSocket);
                     });
    while (!socket_) {
      aLoop.run_one();
    }
    socket_->Open({ [this](std::string& aData) {
                     answer_ += aData;
                     aData.clear();
                   },
                    [](gateway::PeerEnd) {},
                    {} });
  }

  // Returns the time to the complete answer in microseconds.
  double Ask(const std::string& aRequest, std::size_t aBytes)
  {
    const auto start = std::chrono::steady_clock::now();
    answer_.clear();
    socket_->Send(aRequest);
    while (answer_.size() < aBytes) {
      loop_.run_one();
    }
    return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
  }

private:
  gateway::Loop& loop_;
  std::shared_ptr<gateway::Socket> socket_;
  std::string answer_;
};

void
Report(benchmark::State& aState, std::vector<double>& aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto at = [&aTimes](double aShare) {
    return aTimes[static_cast<std::size_t>(
      aShare * static_cast<double>(aTimes.size() - 1))];
  };
  aState.counters["p50_us"] = at(0.5);
  aState.counters["p99_us"] = at(0.99);
}

// Measures sequential calls, sent directly to a target or through a host with
// many targets; the difference is the host's overhead. Caller, host and target
// share one thread.
void
Calls(benchmark::State& aState)
{
  const bool throughHost = aState.range(0) != 0;
  test::World world;
  const auto answer = test::WholeAnswer(std::string(800, 'x'));
  auto& target = world.AddTarget(test::Sends(answer));
  for (int i = 1; i < kTargets; ++i) {
    fleet::Target other;
    other.id_ = "other" + std::to_string(i);
    other.service_ = "s";
    other.address_ = target.Address();
    other.dataCentre_ = "b";
    fleet::UpdateTarget(
      world.host_.members_, other, { 0, 1 }, absl::InfinitePast());
  }
  const auto address =
    throughHost
      ? gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               world.server_.Port())
      : gateway::ParseEndpoint(target.Address());
  Caller caller(world.loop_, address);
  const auto request = test::World::Request("/again/x");
  std::vector<double> times;
  for (auto step : aState) {
    (void)step;
    times.push_back(caller.Ask(request, answer.size()));
  }
  Report(aState, times);
}
BENCHMARK(Calls)->ArgName("through_host")->Arg(0)->Arg(1)->Iterations(20000);

} // namespace
