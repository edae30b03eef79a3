#ifndef LYCHEEPLANK_NET_H
#define LYCHEEPLANK_NET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// HTTP server and client with callbacks; thin layers over libmicrohttpd and
// libcurl.
namespace lycheeplank::net {

// One header or one query parameter.
struct Field
{
  std::string name_;
  std::string value_;
};

// Returns the value of the first field with the name (case is ignored), or
// an empty view.
absl::string_view
FindField(const std::vector<Field>& aFields, absl::string_view aName);

// Tells an absent field from an empty one.
bool
HasField(const std::vector<Field>& aFields, absl::string_view aName);

// A request as the server has read it.
struct Request
{
  std::string method_;
  std::string path_;
  std::vector<Field> query_;
  std::vector<Field> headers_;
  std::string body_;
  // The body was over the limit and was dropped.
  bool tooLarge_ = false;
  // Time from the arrival of its last byte at this host until it was read, as
  // when the process stood still or was overloaded.
  absl::Duration readDelay_ = absl::ZeroDuration();
};

// One request and the way to answer it, from any thread; the first answer
// counts.
class Exchange
{
public:
  virtual ~Exchange() = default;

  // Answers with a whole body.
  virtual void Reply(int aStatus,
                     std::vector<Field> aHeaders,
                     std::string aBody) = 0;
  // Starts an answer whose body follows in pieces.
  virtual void BeginStream(int aStatus, std::vector<Field> aHeaders) = 0;
  // Adds to the body of a stream; false if the caller has gone.
  virtual bool Write(absl::string_view aData) = 0;
  // Ends a stream in the regular way.
  virtual void End() = 0;
  // Cuts the connection, so that the caller sees a broken answer.
  virtual void Abort() = 0;
  // Sets what runs once when the exchange is over or the caller has gone.
  virtual void OnClosed(std::function<void()> aCallback) = 0;
  // Bytes written but not yet taken by the connection.
  virtual std::size_t Backlog() = 0;

  // The request; valid as long as the exchange.
  Request request_;
};

using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;

struct ServerOptions
{
  std::string address_ = "127.0.0.1";
  // 0 takes any free port.
  std::uint16_t port_ = 0;
  unsigned threads_ = 2;
  unsigned maxConnections_ = 20000;
  std::size_t maxBodyBytes_ = 8UL << 20U;
};

// An HTTP/1.1 server; the handler runs on its threads and must not block.
class Server
{
public:
  // Starts to listen; throws std::runtime_error if the address is taken.
  Server(const ServerOptions& aOptions, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const;
  // Takes no new connections; the open ones go on.
  void StopListening();
  // Number of exchanges that are not yet over.
  std::size_t OpenExchanges() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A request to send.
struct Call
{
  std::string method_ = "GET";
  std::string url_;
  std::vector<Field> headers_;
  std::string body_;
  // Makes the body on a thread of the client, in place of body_.
  std::function<std::string()> bodySource_;
  absl::Duration connectTimeout_ = absl::Seconds(2);
  // Whole time allowed; infinite for streams.
  absl::Duration timeout_ = absl::Seconds(30);
  // Time without a byte after which the call fails; zero for none.
  absl::Duration idleTimeout_ = absl::ZeroDuration();
  // Wait before the call is sent.
  absl::Duration delay_ = absl::ZeroDuration();
  // Takes a connection of its own. A library resends a request whose reused
  // connection turns out closed, so calls that must not run twice set this.
  bool freshConnection_ = false;
};

// How a call ended.
struct CallEnd
{
  // The transfer came to its regular end.
  bool completed_ = false;
  int status_ = 0;
  // No byte of the request has left, so the peer can't have seen it.
  bool neverSent_ = false;
  std::string error_;
};

// What happens with a call; all run on one thread of the client.
struct CallEvents
{
  std::function<void(int aStatus)> onStatus_;
  std::function<void(absl::string_view aData)> onData_;
  std::function<void(const CallEnd& aEnd)> onEnd_;
};

// A call's whole answer.
struct Answer
{
  CallEnd end_;
  std::vector<Field> headers_;
  std::string body_;

  bool Ok() const { return end_.completed_ && end_.status_ / 100 == 2; }
};

using CallId = std::uint64_t;

// An HTTP client that runs many calls on few threads.
class Client
{
public:
  explicit Client(unsigned aThreads = 1);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call and returns at once.
  CallId Start(Call aCall, CallEvents aEvents);
  // Starts a call and hands over its whole answer.
  CallId Fetch(Call aCall, std::function<void(Answer&&)> aOnAnswer);
  // Runs a call and waits for its answer; not from the client's own threads.
  Answer FetchAndWait(Call aCall);
  // Ends a call; onEnd_ still runs, with an error.
  void Cancel(CallId aId);

private:
  struct Worker;
  std::vector<std::unique_ptr<Worker>> workers_;
};

// Splits a stream into server-sent events.
class SseParser
{
public:
  struct Event
  {
    std::string id_;
    std::string data_;
  };

  // Takes more of the stream and returns the events that are now whole.
  std::vector<Event> Feed(absl::string_view aData);

private:
  std::string pending_;
};

// Returns one server-sent event as text.
std::string
FormatSse(absl::string_view aId, absl::string_view aData);

// Escapes a text for use in a URL.
std::string
UrlEscape(absl::string_view aText);

} // namespace lycheeplank::net

#endif
