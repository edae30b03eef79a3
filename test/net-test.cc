#include "lycheeplank/net.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

namespace net = lycheeplank::net;

namespace {

std::string
UrlOf(const net::Server& aServer, const std::string& aPath)
{
  return absl::StrCat("http://127.0.0.1:", aServer.Port(), aPath);
}

// A TCP connection to a server on the loopback interface.
class Connection
{
public:
  explicit Connection(std::uint16_t aPort)
    : socket_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket_,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~Connection() { close(socket_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Send(const std::string& aText) const
  {
    REQUIRE(send(socket_, aText.data(), aText.size(), 0) ==
            static_cast<ssize_t>(aText.size()));
  }

  // Reads until the server closes the connection.
  void ReadAll() const
  {
    std::array<char, 1024> buffer{};
    while (recv(socket_, buffer.data(), buffer.size(), 0) > 0) {
    }
  }

private:
  const int socket_;
};

// A server that sends a text and closes the connection.
class CutServer
{
public:
  CutServer()
    : socket_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(socket_,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(socket_, 1) == 0);
  }
  ~CutServer() { close(socket_); }
  CutServer(const CutServer&) = delete;
  CutServer& operator=(const CutServer&) = delete;

  std::uint16_t Port() const
  {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    REQUIRE(
      getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    return ntohs(address.sin_port);
  }

  // Accepts a connection, reads a request and answers it.
  void Answer(const std::string& aText) const
  {
    const int peer = accept(socket_, nullptr, nullptr);
    REQUIRE(peer >= 0);
    std::array<char, 1024> buffer{};
    REQUIRE(recv(peer, buffer.data(), buffer.size(), 0) > 0);
    REQUIRE(send(peer, aText.data(), aText.size(), 0) ==
            static_cast<ssize_t>(aText.size()));
    close(peer);
  }

private:
  const int socket_;
};

} // namespace

TEST_CASE("a fetched answer carries status, headers and body")
{
  net::Server server({}, [](const std::shared_ptr<net::Exchange>& aExchange) {
    const auto& request = aExchange->request_;
    aExchange->Reply(
      201,
      { { "X-Query", std::string(net::FindField(request.query_, "q")) } },
      request.method_ + request.path_ + request.body_);
  });
  net::Client client;
  const auto answer = client.FetchAndWait(
    { "POST", UrlOf(server, "/p?q=a%20b"), { { "X-A", "1" } }, "body" });
  CHECK(answer.Ok());
  CHECK(answer.end_.status_ == 201);
  CHECK(answer.body_ == "POST/pbody");
  CHECK(net::FindField(answer.headers_, "x-query") == "a b");
}

TEST_CASE("a body over the limit is dropped and the request is marked")
{
  net::ServerOptions options;
  options.maxBodyBytes_ = 1000;
  net::Server server(
    options, [](const std::shared_ptr<net::Exchange>& aExchange) {
      aExchange->Reply(aExchange->request_.tooLarge_ ? 413 : 200, {}, "");
    });
  net::Client client;
  const auto answer = client.FetchAndWait(
    { "POST", UrlOf(server, "/"), {}, std::string(100000, 'x') });
  CHECK(answer.end_.status_ == 413);
}

TEST_CASE("a stream written by another thread arrives in order")
{
  std::vector<std::thread> writers;
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    writers.emplace_back([aExchange] {
      aExchange->BeginStream(200, { { "Content-Type", "text/event-stream" } });
      for (int i = 0; i < 1000; ++i) {
        aExchange->Write(net::FormatSse(absl::StrCat(i), absl::StrCat("d", i)));
      }
      aExchange->End();
    });
  });
  net::Client client;
  const auto answer = client.FetchAndWait({ "GET", UrlOf(server, "/") });
  for (auto& writer : writers) {
    writer.join();
  }
  net::SseParser parser;
  const auto events = parser.Feed(answer.body_);
  REQUIRE(answer.Ok());
  REQUIRE(events.size() == 1000);
  CHECK(events[999].id_ == "999");
  CHECK(events[999].data_ == "d999");
}

TEST_CASE("an aborted stream is not reported as completed")
{
  net::Server server({}, [](const std::shared_ptr<net::Exchange>& aExchange) {
    aExchange->BeginStream(200, {});
    aExchange->Write("part");
    aExchange->Abort();
  });
  net::Client client;
  const auto answer = client.FetchAndWait({ "GET", UrlOf(server, "/") });
  CHECK_FALSE(answer.end_.completed_);
}

TEST_CASE("a call whose connection is refused is reported as never sent")
{
  std::uint16_t port = 0;
  {
    net::Server server({}, [](const std::shared_ptr<net::Exchange>&) {});
    port = server.Port();
  }
  net::Client client;
  const auto answer = client.FetchAndWait(
    { "POST", absl::StrCat("http://127.0.0.1:", port, "/"), {}, "x" });
  CHECK_FALSE(answer.end_.completed_);
  CHECK(answer.end_.neverSent_);
}

TEST_CASE("a call that was sent but not answered is not reported as never sent")
{
  std::shared_ptr<net::Exchange> held;
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    held = aExchange;
  });
  net::Client client;
  net::Call call{ "POST", UrlOf(server, "/"), {}, "x" };
  // On a busy machine 200 ms passed before the call was sent.
  call.timeout_ = absl::Seconds(3);
  const auto answer = client.FetchAndWait(call);
  CHECK_FALSE(answer.end_.completed_);
  CHECK_FALSE(answer.end_.neverSent_);
  REQUIRE(held);
  held->Reply(200, {}, "late");
}

// Guards against an empty answer in place of one that was cut.
TEST_CASE("a call whose connection closes within the answer's head fails")
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                           "Content-Length: 12\r\n\r\n";
  const std::string interim = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
  const CutServer server;
  net::Client client;
  for (const std::size_t length : { 1, 9, 15, 17, 30, 43, 60, 62 }) {
    CAPTURE(length);
    auto answer = std::async(std::launch::async, [&] {
      return client.FetchAndWait(
        { "GET", absl::StrCat("http://127.0.0.1:", server.Port(), "/") });
    });
    server.Answer(interim + head.substr(0, length));
    CHECK_FALSE(answer.get().end_.completed_);
  }
}

// libcurl takes a line of spaces for a part of the field before it.
TEST_CASE("a call whose connection closes after a line of spaces fails")
{
  const CutServer server;
  net::Client client;
  for (const char* rest : { " \r\n", "\t\n", " \t \r\nX-B: c" }) {
    CAPTURE(rest);
    auto answer = std::async(std::launch::async, [&] {
      return client.FetchAndWait(
        { "GET", absl::StrCat("http://127.0.0.1:", server.Port(), "/") });
    });
    server.Answer(absl::StrCat("HTTP/1.1 200 OK\r\nX-A: b\r\n", rest));
    CHECK_FALSE(answer.get().end_.completed_);
  }
}

// Guards against a part of an answer, or its chunks, in place of the whole.
TEST_CASE("a call fails if the length of its answer is in doubt")
{
  const CutServer server;
  net::Client client;
  const auto fetch = [&](const std::string& aFields, const std::string& aBody) {
    auto answer = std::async(std::launch::async, [&] {
      return client.FetchAndWait(
        { "GET", absl::StrCat("http://127.0.0.1:", server.Port(), "/") });
    });
    server.Answer(absl::StrCat("HTTP/1.1 200 OK\r\n", aFields, "\r\n", aBody));
    return answer.get();
  };
  for (const char* fields : { "Content-Length: 10\r\nContent-Length: 4\r\n",
                              "Content-Length: 10, 4\r\n",
                              "Content-Length: 4 10\r\n",
                              "Content-Length: 4x\r\n",
                              "Content-Length: 0x4\r\n",
                              "Content-Length: 99999999999999999999999\r\n",
                              "Content-Length : 10\r\n",
                              "content-length\t: 10\r\n",
                              "Transfer-Encoding : chunked\r\n" }) {
    CAPTURE(fields);
    for (const char* body : { "4\r\nbody\r\n0\r\n\r\n", "body" }) {
      const auto answer = fetch(fields, body);
      CHECK_FALSE(answer.end_.completed_);
      CHECK(answer.body_.empty());
    }
  }
  const std::string length = "Content-Length: 4\r\n";
  for (const std::string& fields : { length, length + length }) {
    CAPTURE(fields);
    const auto answer = fetch(fields, "body");
    CHECK(answer.Ok());
    CHECK(answer.body_ == "body");
  }
}

// Guards against statuses that callers can't interpret.
TEST_CASE("a call fails if the status of its answer is invalid")
{
  const CutServer server;
  net::Client client;
  for (const std::string status :
       { "000", "042", "099", "600", "999", "100", "101", "199" }) {
    CAPTURE(status);
    auto fetched = std::async(std::launch::async, [&] {
      return client.FetchAndWait(
        { "GET", absl::StrCat("http://127.0.0.1:", server.Port(), "/") });
    });
    server.Answer("HTTP/1.1 " + status +
                  " Odd\r\nContent-Length: 4\r\n\r\nbody");
    const auto answer = fetched.get();
    CHECK_FALSE(answer.end_.completed_);
    CHECK(answer.body_.empty());
  }
}

TEST_CASE("an answer's fields are those of its own head")
{
  const CutServer server;
  net::Client client;
  auto fetched = std::async(std::launch::async, [&] {
    return client.FetchAndWait(
      { "GET", absl::StrCat("http://127.0.0.1:", server.Port(), "/") });
  });
  server.Answer("HTTP/1.1 103 Early Hints\r\nX-Version: 1\r\n\r\n"
                "HTTP/1.1 200 OK\r\nX-Version: 2\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
                "4\r\nbody\r\n0\r\nX-Version: 3\r\nX-Late: 4\r\n\r\n");
  const auto answer = fetched.get();
  CHECK(answer.Ok());
  CHECK(answer.body_ == "body");
  CHECK(net::FindField(answer.headers_, "X-Version") == "2");
  CHECK_FALSE(net::HasField(answer.headers_, "X-Late"));
}

TEST_CASE("server-sent events split at any byte are parsed")
{
  const std::string text =
    net::FormatSse("1", "first") + net::FormatSse("", "second");
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    net::SseParser parser;
    auto events = parser.Feed(text.substr(0, cut));
    for (auto& event : parser.Feed(text.substr(cut))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id_ == "1");
    CHECK(events[1].data_ == "second");
  }
}

TEST_CASE("a delayed call can be cancelled before it is sent")
{
  std::atomic<int> seen{ 0 };
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    ++seen;
    aExchange->Reply(200, {}, "");
  });
  net::Client client;
  net::Call call{ "GET", UrlOf(server, "/") };
  call.delay_ = absl::Hours(1);
  absl::Notification ended;
  net::CallEnd end;
  net::CallEvents events;
  events.onEnd_ = [&](const net::CallEnd& aEnd) {
    end = aEnd;
    ended.Notify();
  };
  client.Cancel(client.Start(call, events));
  ended.WaitForNotification();
  CHECK(end.neverSent_);
  call.delay_ = absl::Milliseconds(20);
  CHECK(client.FetchAndWait(call).Ok());
  CHECK(seen == 1);
}

TEST_CASE("a call whose deadline passed in the queue is never sent")
{
  std::atomic<int> received{ 0 };
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    ++received;
    aExchange->Reply(200, {}, "");
  });
  net::Client client(1);
  absl::Notification held;
  absl::Notification release;
  client.Fetch({ "GET", UrlOf(server, "/") }, [&](net::Answer&&) {
    held.Notify();
    release.WaitForNotification();
  });
  held.WaitForNotification();
  absl::Notification done;
  net::Answer late;
  net::Call call{ "POST", UrlOf(server, "/"), {}, "x" };
  call.timeout_ = absl::Milliseconds(20);
  client.Fetch(call, [&](net::Answer&& aAnswer) {
    late = std::move(aAnswer);
    done.Notify();
  });
  absl::SleepFor(call.timeout_ * 2);
  release.Notify();
  done.WaitForNotification();
  CHECK_FALSE(late.end_.completed_);
  CHECK(late.end_.neverSent_);
  CHECK(received == 1);
}

TEST_CASE("a request reports how long it waited to be read")
{
  // On loopback the bytes have arrived at the server once send() returns. The
  // margin covers the resolution of the kernel's clock.
  constexpr absl::Duration kBusyTime = absl::Milliseconds(500);
  constexpr absl::Duration kMargin = absl::Milliseconds(100);
  net::ServerOptions options;
  options.threads_ = 1;
  absl::Notification held;
  absl::Notification release;
  std::vector<std::pair<absl::Time, absl::Duration>> read;
  net::Server server(
    options, [&](const std::shared_ptr<net::Exchange>& aExchange) {
      read.emplace_back(absl::Now(), aExchange->request_.readDelay_);
      if (read.size() == 1) {
        held.Notify();
        release.WaitForNotification();
      }
      aExchange->Reply(200, {}, "");
    });
  const absl::Time begin = absl::Now();
  Connection first(server.Port());
  first.Send("GET / HTTP/1.0\r\n\r\n");
  held.WaitForNotification();
  // The second request arrives while the server's only thread is busy.
  Connection second(server.Port());
  second.Send("POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx");
  const absl::Time sent = absl::Now();
  absl::SleepFor(kBusyTime);
  release.Notify();
  first.ReadAll();
  second.ReadAll();
  REQUIRE(read.size() == 2);
  CHECK(read[0].second <= read[0].first - begin + kMargin);
  CHECK(read[1].second >= read[1].first - sent - kMargin);
}

TEST_CASE("more streams than one wait handles arrive complete and in order")
{
  constexpr int kStreams = 200;
  constexpr int kPieces = 20;
  net::Server server({}, [](const std::shared_ptr<net::Exchange>& aExchange) {
    aExchange->BeginStream(200, {});
    for (int i = 0; i < kPieces; ++i) {
      aExchange->Write(absl::StrCat(aExchange->request_.path_, ":", i, ";"));
    }
    aExchange->End();
  });
  net::Client client;
  std::vector<std::string> bodies(kStreams);
  std::atomic<int> whole{ 0 };
  absl::BlockingCounter open(kStreams);
  for (int at = 0; at < kStreams; ++at) {
    net::CallEvents events;
    events.onData_ = [&bodies, at](absl::string_view aData) {
      bodies[at].append(aData.data(), aData.size());
    };
    events.onEnd_ = [&](const net::CallEnd& aEnd) {
      whole += aEnd.completed_ && aEnd.status_ == 200 ? 1 : 0;
      open.DecrementCount();
    };
    client.Start({ "GET", UrlOf(server, absl::StrCat("/", at)) }, events);
  }
  open.Wait();
  CHECK(whole == kStreams);
  for (int at = 0; at < kStreams; ++at) {
    std::string expected;
    for (int i = 0; i < kPieces; ++i) {
      absl::StrAppend(&expected, "/", at, ":", i, ";");
    }
    CHECK(bodies[at] == expected);
  }
}

TEST_CASE("a call's data is delivered before its end is reported")
{
  constexpr std::size_t kBytes = 1UL << 20U;
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    aExchange->BeginStream(200, {});
    aExchange->Write(std::string(kBytes, 'x'));
    aExchange->Abort();
  });
  net::Client client;
  std::size_t received = 0;
  bool statusFirst = false;
  absl::Notification ended;
  net::CallEnd end;
  std::size_t receivedAtEnd = 0;
  net::CallEvents events;
  events.onStatus_ = [&](int aStatus) {
    statusFirst = aStatus == 200 && received == 0;
  };
  events.onData_ = [&](absl::string_view aData) { received += aData.size(); };
  events.onEnd_ = [&](const net::CallEnd& aEnd) {
    end = aEnd;
    receivedAtEnd = received;
    ended.Notify();
  };
  client.Start({ "GET", UrlOf(server, "/") }, events);
  ended.WaitForNotification();
  CHECK(statusFirst);
  CHECK_FALSE(end.completed_);
  CHECK(receivedAtEnd == kBytes);
}

TEST_CASE("cancelling a stream closes its connection")
{
  absl::Notification closed;
  std::shared_ptr<net::Exchange> held;
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    held = aExchange;
    aExchange->OnClosed([&] { closed.Notify(); });
    aExchange->BeginStream(200, {});
    aExchange->Write("first");
  });
  net::Client client;
  absl::Notification begun;
  absl::Notification ended;
  net::CallEnd end;
  net::CallEvents events;
  events.onData_ = [&](absl::string_view) { begun.Notify(); };
  events.onEnd_ = [&](const net::CallEnd& aEnd) {
    end = aEnd;
    ended.Notify();
  };
  const net::CallId id = client.Start({ "GET", UrlOf(server, "/") }, events);
  begun.WaitForNotification();
  client.Cancel(id);
  ended.WaitForNotification();
  CHECK_FALSE(end.completed_);
  CHECK_FALSE(end.neverSent_);
  // The server detects the closed connection when it writes.
  while (!closed.HasBeenNotified()) {
    held->Write("more");
    absl::SleepFor(absl::Milliseconds(1));
  }
}

TEST_CASE("an idle stream fails although no socket becomes ready")
{
  std::shared_ptr<net::Exchange> held;
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    held = aExchange;
    aExchange->BeginStream(200, {});
    aExchange->Write("first");
  });
  net::Client client;
  net::Call call{ "GET", UrlOf(server, "/") };
  call.timeout_ = absl::InfiniteDuration();
  call.idleTimeout_ = absl::Seconds(1);
  const auto answer = client.FetchAndWait(call);
  CHECK_FALSE(answer.end_.completed_);
  CHECK(answer.body_ == "first");
  held->End();
}
