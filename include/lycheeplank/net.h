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

// A header or a query parameter.
struct Field
{
  std::string name_;
  std::string value_;
};

// Returns the value of the first field named aName, or an empty view if there
// is none. Ignores case.
absl::string_view
FindField(const std::vector<Field>& aFields, absl::string_view aName);

// Returns whether there is a field named aName, even if its value is empty.
// Ignores case.
bool
HasField(const std::vector<Field>& aFields, absl::string_view aName);

// A request that the server has received.
struct Request
{
  std::string method_;
  std::string path_;
  std::vector<Field> query_;
  std::vector<Field> headers_;
  std::string body_;
  // The body was larger than ServerOptions::maxBodyBytes_ and was dropped.
  bool tooLarge_ = false;
  // Time from the arrival of the request's last byte at this host until the
  // server read it. It is long if the process was stopped or overloaded.
  absl::Duration readDelay_ = absl::ZeroDuration();
};

// A request and its answer. All methods may be called from any thread. Only the
// first call of Reply or BeginStream takes effect.
class Exchange
{
public:
  virtual ~Exchange() = default;

  // Answers with a complete body.
  virtual void Reply(int aStatus,
                     std::vector<Field> aHeaders,
                     std::string aBody) = 0;
  // Starts an answer whose body follows by calls of Write.
  virtual void BeginStream(int aStatus, std::vector<Field> aHeaders) = 0;
  // Appends to the body of a stream; returns false if the exchange is closed,
  // for instance because the caller has disconnected.
  virtual bool Write(absl::string_view aData) = 0;
  // Ends a stream normally.
  virtual void End() = 0;
  // Closes the connection, so that the caller receives an incomplete answer.
  virtual void Abort() = 0;
  // Sets a callback that runs once when the exchange is complete or the caller
  // has disconnected; it runs at once if the exchange is closed already.
  virtual void OnClosed(std::function<void()> aCallback) = 0;
  // Returns the number of bytes written but not yet taken by the connection.
  virtual std::size_t Backlog() = 0;

  // Valid as long as the exchange.
  Request request_;
};

// Handles a request, which it may answer after its return.
using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;

struct ServerOptions
{
  std::string address_ = "127.0.0.1";
  // 0 selects any free port.
  std::uint16_t port_ = 0;
  unsigned threads_ = 2;
  unsigned maxConnections_ = 20000;
  std::size_t maxBodyBytes_ = 8UL << 20U;
};

// An HTTP/1.1 server. The handler runs on the server's threads and must not
// block.
class Server
{
public:
  // Starts to listen; throws std::runtime_error if the address is invalid or in
  // use.
  Server(const ServerOptions& aOptions, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const;
  // Stops accepting connections; open connections are still served.
  void StopListening();
  // Returns the number of exchanges that are not yet complete.
  std::size_t OpenExchanges() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A request for the client to send.
struct Call
{
  std::string method_ = "GET";
  std::string url_;
  std::vector<Field> headers_;
  std::string body_;
  // If set, builds the body on a client thread just before the call is sent, in
  // place of body_.
  std::function<std::string()> bodySource_;
  absl::Duration connectTimeout_ = absl::Seconds(2);
  // Maximum duration of the whole call after delay_; infinite for streams.
  absl::Duration timeout_ = absl::Seconds(30);
  // Maximum time without data before the call fails; zero for no limit. It is
  // rounded down to whole seconds, but to at least one.
  absl::Duration idleTimeout_ = absl::ZeroDuration();
  // Time to wait before the call is sent.
  absl::Duration delay_ = absl::ZeroDuration();
  // Opens a new connection for the call. libcurl resends a request if a reused
  // connection turns out to be closed, so calls that must not be executed twice
  // set this.
  bool freshConnection_ = false;
};

// The end of a call.
struct CallEnd
{
  // The answer was received completely.
  bool completed_ = false;
  // HTTP status; zero if none was received.
  int status_ = 0;
  // No byte of the request was sent, so the server can't have received it.
  bool neverSent_ = false;
  // Description of the error; empty if the call is completed.
  std::string error_;
};

// Callbacks of a call; they all run on the same client thread.
struct CallEvents
{
  std::function<void(int aStatus)> onStatus_;
  std::function<void(absl::string_view aData)> onData_;
  std::function<void(const CallEnd& aEnd)> onEnd_;
};

// The complete answer to a call.
struct Answer
{
  CallEnd end_;
  std::vector<Field> headers_;
  std::string body_;

  // Returns whether the answer is complete and its status is 2xx.
  bool Ok() const { return end_.completed_ && end_.status_ / 100 == 2; }
};

// Identifies a call of one client.
using CallId = std::uint64_t;

// An HTTP client that runs many concurrent calls on few threads.
class Client
{
public:
  explicit Client(unsigned aThreads = 1);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call and returns at once.
  CallId Start(Call aCall, CallEvents aEvents);
  // Starts a call and returns at once; aOnAnswer gets the complete answer.
  CallId Fetch(Call aCall, std::function<void(Answer&&)> aOnAnswer);
  // Runs a call and waits for its answer. Must not be called on a thread of the
  // client.
  Answer FetchAndWait(Call aCall);
  // Cancels a call; onEnd_ still runs, with an error.
  void Cancel(CallId aId);

private:
  struct Worker;
  std::vector<std::unique_ptr<Worker>> workers_;
};

// Parses a stream of server-sent events.
class SseParser
{
public:
  struct Event
  {
    std::string id_;
    std::string data_;
  };

  // Takes the next piece of the stream and returns the events that it
  // completes.
  std::vector<Event> Feed(absl::string_view aData);

private:
  std::string pending_;
};

// Formats a server-sent event; an empty aId leaves out the id field. aData must
// not contain line breaks.
std::string
FormatSse(absl::string_view aId, absl::string_view aData);

// Percent-encodes a text for use in a URL.
std::string
UrlEscape(absl::string_view aText);

} // namespace lycheeplank::net

#endif
