#include "gateway/socket.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/ip/address.hpp>
#include <catch2/catch.hpp>

namespace gateway = lycheeplank::gateway;

// Guards against answers that are cut one second after they were handed over
// because their callers read slowly.
TEST_CASE("a socket that finishes sends all to a slow peer")
{
  using std::chrono::milliseconds;
  // More than the kernel takes at once.
  constexpr std::size_t kBytes = 64U << 20U;
  constexpr std::size_t kSlowReads = 15;
  gateway::Loop loop{ 1 };
  std::shared_ptr<gateway::Socket> sender;
  gateway::Listener listener(
    loop,
    gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
    [&](std::shared_ptr<gateway::Socket> aSocket) {
      sender = std::move(aSocket);
      sender->Open({});
      sender->Send(std::string(kBytes, 'x'));
      sender->Finish();
    });
  std::shared_ptr<gateway::Socket> reader;
  std::size_t received = 0;
  bool isClosed = false;
  gateway::Connect(
    loop,
    gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                           listener.Port()),
    absl::Seconds(5),
    [&](std::shared_ptr<gateway::Socket> aSocket, gateway::ConnectEnd) {
      reader = std::move(aSocket);
      reader->Open({ [&](std::string& aData) {
                      received += aData.size();
                      aData.clear();
                      reader->SetReading(false);
                    },
                     [&](gateway::PeerEnd) { isClosed = true; },
                     {} });
    });
  const auto readAgain = [&] {
    if (reader && !isClosed) {
      reader->SetReading(true);
    }
  };
  for (std::size_t reads = 0; reads < kSlowReads; ++reads) {
    loop.restart();
    loop.run_for(milliseconds(100));
    readAgain();
  }
  const auto unsent = sender->Unsent();
  while (!isClosed) {
    loop.restart();
    loop.run_for(milliseconds(1));
    readAgain();
  }
  CHECK(unsent > 0);
  CHECK(received == kBytes);
  CHECK_FALSE(sender->IsOpen());
}
