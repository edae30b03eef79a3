#include "gateway/socket.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

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

// Guards against answers to slow hosts of which parts are lost, sent twice or
// sent out of order, since several sockets send one text.
TEST_CASE("a shared text is sent whole and in order to slow peers")
{
  using std::chrono::milliseconds;
  gateway::Loop loop{ 1 };
  std::string body;
  while (body.size() < (16U << 20U)) {
    body += std::to_string(body.size());
  }
  auto shared = std::make_shared<const std::string>(body);
  std::vector<std::shared_ptr<gateway::Socket>> senders;
  gateway::Listener listener(
    loop,
    gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
    [&](std::shared_ptr<gateway::Socket> aSocket) {
      aSocket->Open({});
      aSocket->Send("head");
      aSocket->SendShared(shared);
      // One text follows while the shared one is being sent.
      if (senders.empty()) {
        aSocket->Send("tail");
      }
      senders.push_back(std::move(aSocket));
    });
  std::vector<std::shared_ptr<gateway::Socket>> readers;
  std::vector<std::string> received(2);
  for (auto& text : received) {
    gateway::Connect(
      loop,
      gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                             listener.Port()),
      absl::Seconds(5),
      [&](const std::shared_ptr<gateway::Socket>& aSocket,
          gateway::ConnectEnd) {
        readers.push_back(aSocket);
        aSocket->Open({ [&text](std::string& aData) {
                         text += aData;
                         aData.clear();
                       },
                        {},
                        {} });
        aSocket->SetReading(false);
      });
  }
  loop.run_for(milliseconds(100));
  REQUIRE(senders.size() == 2);
  CHECK(senders[1]->Unsent() > 0);
  // The second socket has no copy; the first one's rest was copied.
  CHECK(shared.use_count() == 2);
  for (const auto& reader : readers) {
    reader->SetReading(true);
  }
  const auto isDone = [&] {
    return senders[0]->Unsent() == 0 && senders[1]->Unsent() == 0 &&
           received[0].size() + received[1].size() >= 2 * body.size() + 12;
  };
  for (int i = 0; i < 2000 && !isDone(); ++i) {
    loop.restart();
    loop.run_for(milliseconds(5));
  }
  const std::vector<std::string> expected{ "head" + body,
                                           "head" + body + "tail" };
  std::sort(received.begin(), received.end());
  CHECK((received == expected));
  CHECK(shared.use_count() == 1);
}

TEST_CASE("shared and copied bytes arrive in order")
{
  using std::chrono::milliseconds;
  constexpr std::size_t kSharedBytes = 16U << 20U;
  constexpr std::size_t kPieces = 200;
  constexpr std::size_t kPieceBytes = 10000;
  gateway::Loop loop{ 1 };
  const auto before = gateway::TotalsOfSockets();
  std::string expected;
  std::string received;
  std::size_t copied = 0;
  {
    std::shared_ptr<gateway::Socket> sender;
    std::shared_ptr<gateway::Socket> reader;
    gateway::Listener listener(
      loop,
      gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
      [&](std::shared_ptr<gateway::Socket> aSocket) {
        sender = std::move(aSocket);
        sender->Open({});
      });
    gateway::Connect(
      loop,
      gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                             listener.Port()),
      absl::Seconds(5),
      [&](std::shared_ptr<gateway::Socket> aSocket, gateway::ConnectEnd) {
        reader = std::move(aSocket);
      });
    while (!sender || !reader) {
      loop.restart();
      loop.run_for(milliseconds(1));
    }
    const auto send = [&](char aFill, std::size_t aBytes, bool aShares) {
      const auto data = std::make_shared<std::string>(aBytes, aFill);
      expected += *data;
      if (aShares) {
        sender->SendShared(data);
      } else {
        sender->Send(*data);
      }
    };
    send('a', 100, false);
    send('b', kSharedBytes, true);
    CHECK(sender->Unsent() > 0);
    // The peer reads nothing, yet no copy of the shared bytes is made.
    CHECK(gateway::TotalsOfSockets().unsentBytes_ == before.unsentBytes_);
    send('c', 100, false);
    copied = gateway::TotalsOfSockets().unsentBytes_ - before.unsentBytes_;
    CHECK(copied >= sender->Unsent());
    for (std::size_t piece = 0; piece < kPieces; ++piece) {
      send(static_cast<char>('d' + piece % 10), kPieceBytes, piece % 3 == 0);
    }
    reader->Open({ [&](std::string& aData) {
                    received += aData;
                    aData.clear();
                  },
                   {},
                   {} });
    for (int turn = 0; turn < 5000 && received.size() < expected.size();
         ++turn) {
      loop.restart();
      loop.run_for(milliseconds(1));
    }
    CHECK(received.size() == expected.size());
    CHECK((received == expected));
    CHECK(sender->Unsent() == 0);
    CHECK(gateway::TotalsOfSockets().unsentBytes_ == before.unsentBytes_);
    sender->Send(std::string(kSharedBytes, 'x'));
    sender->Close();
    reader->Close();
  }
  CHECK(gateway::TotalsOfSockets().unsentBytes_ == before.unsentBytes_);
  CHECK(gateway::TotalsOfSockets().open_ == before.open_);
}
