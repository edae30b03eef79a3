#include "lycheeplank/net.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/base/thread_annotations.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <microhttpd.h>

namespace lycheeplank::net {

absl::string_view
FindField(const std::vector<Field>& aFields, absl::string_view aName)
{
  for (const auto& field : aFields) {
    if (absl::EqualsIgnoreCase(field.name_, aName)) {
      return field.value_;
    }
  }
  return {};
}

bool
HasField(const std::vector<Field>& aFields, absl::string_view aName)
{
  for (const auto& field : aFields) {
    if (absl::EqualsIgnoreCase(field.name_, aName)) {
      return true;
    }
  }
  return false;
}

namespace {

// Memory that libmicrohttpd reserves for one connection.
constexpr std::size_t kConnectionMemoryBytes = 16UL << 10U;
// Size of the blocks in which libmicrohttpd reads a stream.
constexpr std::size_t kStreamBlockBytes = 4UL << 10U;
constexpr unsigned kIdleTimeoutSeconds = 120;

// Whether libmicrohttpd processes a connection.
enum class ConnectionState
{
  Active,
  Suspended,
};

// An exchange on a connection of libmicrohttpd.
class MhdExchange final : public Exchange
{
public:
  explicit MhdExchange(MHD_Connection* aConnection)
    : connection_(aConnection)
  {
  }

  void Reply(int aStatus,
             std::vector<Field> aHeaders,
             std::string aBody) override
  {
    const absl::MutexLock lock(&mutex_);
    if (answered_ || closed_) {
      return;
    }
    answered_ = true;
    status_ = aStatus;
    headers_ = std::move(aHeaders);
    buffer_ = std::move(aBody);
    Resume();
  }

  void BeginStream(int aStatus, std::vector<Field> aHeaders) override
  {
    const absl::MutexLock lock(&mutex_);
    if (answered_ || closed_) {
      return;
    }
    answered_ = true;
    streaming_ = true;
    status_ = aStatus;
    headers_ = std::move(aHeaders);
    Resume();
  }

  bool Write(absl::string_view aData) override
  {
    const absl::MutexLock lock(&mutex_);
    if (closed_) {
      return false;
    }
    buffer_.append(aData.data(), aData.size());
    Resume();
    return true;
  }

  void End() override
  {
    const absl::MutexLock lock(&mutex_);
    ended_ = true;
    Resume();
  }

  void Abort() override
  {
    const absl::MutexLock lock(&mutex_);
    if (!answered_) {
      answered_ = true;
      streaming_ = true;
      status_ = MHD_HTTP_INTERNAL_SERVER_ERROR;
    }
    aborted_ = true;
    Resume();
  }

  void OnClosed(std::function<void()> aCallback) override
  {
    {
      const absl::MutexLock lock(&mutex_);
      if (!closed_) {
        onClosed_ = std::move(aCallback);
        return;
      }
    }
    aCallback();
  }

  std::size_t Backlog() override
  {
    const absl::MutexLock lock(&mutex_);
    return buffer_.size() - consumed_;
  }

  // Queues the answer if there is one, else suspends the connection until there
  // is one.
  MHD_Result QueueAnswerOrSuspend(const std::shared_ptr<MhdExchange>& aSelf)
  {
    const absl::MutexLock lock(&mutex_);
    if (!answered_) {
      connectionState_ = ConnectionState::Suspended;
      MHD_suspend_connection(connection_);
      return MHD_YES;
    }
    return streaming_ ? QueueStream(aSelf) : QueueReply();
  }

  // Marks the exchange as closed and runs the callback set by OnClosed.
  void Close()
  {
    std::function<void()> callback;
    {
      const absl::MutexLock lock(&mutex_);
      closed_ = true;
      std::swap(callback, onClosed_);
    }
    if (callback) {
      callback();
    }
  }

private:
  // Resumes the connection if it is suspended.
  void Resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    if (connectionState_ == ConnectionState::Suspended) {
      connectionState_ = ConnectionState::Active;
      MHD_resume_connection(connection_);
    }
  }

  MHD_Result QueueReply() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    MHD_Response* response = MHD_create_response_from_buffer(
      buffer_.size(), buffer_.data(), MHD_RESPMEM_MUST_COPY);
    return QueueResponse(response);
  }

  MHD_Result QueueStream(const std::shared_ptr<MhdExchange>& aSelf)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    auto* holder = new std::shared_ptr<MhdExchange>(aSelf);
    MHD_Response* response = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN,
      kStreamBlockBytes,
      [](void* aHolder, std::uint64_t, char* aOut, std::size_t aMaxBytes) {
        return (*static_cast<std::shared_ptr<MhdExchange>*>(aHolder))
          ->ReadStream(aOut, aMaxBytes);
      },
      holder,
      [](void* aHolder) {
        delete static_cast<std::shared_ptr<MhdExchange>*>(aHolder);
      });
    return QueueResponse(response);
  }

  MHD_Result QueueResponse(MHD_Response* aResponse)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    for (const auto& header : headers_) {
      MHD_add_response_header(
        aResponse, header.name_.c_str(), header.value_.c_str());
    }
    const MHD_Result queued = MHD_queue_response(
      connection_, static_cast<unsigned>(status_), aResponse);
    MHD_destroy_response(aResponse);
    return queued;
  }

  // Writes the next part of a stream to aOut; suspends the connection if there
  // is none yet.
  ssize_t ReadStream(char* aOut, std::size_t aMaxBytes)
  {
    const absl::MutexLock lock(&mutex_);
    const std::size_t remaining = buffer_.size() - consumed_;
    if (remaining > 0) {
      const std::size_t size = std::min(remaining, aMaxBytes);
      std::memcpy(aOut, buffer_.data() + consumed_, size);
      consumed_ += size;
      if (consumed_ == buffer_.size()) {
        buffer_.clear();
        consumed_ = 0;
      }
      return static_cast<ssize_t>(size);
    }
    if (aborted_) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (ended_) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    connectionState_ = ConnectionState::Suspended;
    MHD_suspend_connection(connection_);
    return 0;
  }

  absl::Mutex mutex_;
  MHD_Connection* const connection_;
  std::string buffer_ ABSL_GUARDED_BY(mutex_);
  std::size_t consumed_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<Field> headers_ ABSL_GUARDED_BY(mutex_);
  std::function<void()> onClosed_ ABSL_GUARDED_BY(mutex_);
  int status_ ABSL_GUARDED_BY(mutex_) = 0;
  ConnectionState connectionState_ ABSL_GUARDED_BY(mutex_) =
    ConnectionState::Active;
  bool answered_ ABSL_GUARDED_BY(mutex_) = false;
  bool streaming_ ABSL_GUARDED_BY(mutex_) = false;
  bool ended_ ABSL_GUARDED_BY(mutex_) = false;
  bool aborted_ ABSL_GUARDED_BY(mutex_) = false;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

// State of a request, kept by libmicrohttpd until the request is complete.
struct RequestContext
{
  std::shared_ptr<MhdExchange> exchange_;
  bool handled_ = false;
};

MHD_Result
CollectField(void* aFields, MHD_ValueKind, const char* aName, const char* aText)
{
  static_cast<std::vector<Field>*>(aFields)->push_back(
    { aName, aText == nullptr ? "" : aText });
  return MHD_YES;
}

// Returns the time since the last data of a connection arrived at this host;
// zero if the system doesn't report it.
absl::Duration
TimeSinceLastData(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* connection =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool known =
    connection != nullptr &&
    getsockopt(connection->connect_fd, IPPROTO_TCP, TCP_INFO, &info, &size) ==
      0;
  return known ? absl::Milliseconds(info.tcpi_last_data_recv)
               : absl::ZeroDuration();
}

} // namespace

struct Server::Impl
{
  ServerOptions options_;
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;
  std::atomic<std::size_t> openExchanges_{ 0 };

  // Called by libmicrohttpd for the headers of a request, for each piece of its
  // body, after its body and when a suspended connection is resumed.
  MHD_Result HandleRequest(MHD_Connection* aConnection,
                           const char* aUrl,
                           const char* aMethod,
                           const char* aData,
                           std::size_t* aSize,
                           void** aContext)
  {
    if (*aContext == nullptr) {
      *aContext = BeginRequest(aConnection, aUrl, aMethod);
      return MHD_YES;
    }
    auto* context = static_cast<RequestContext*>(*aContext);
    if (*aSize > 0) {
      AppendBody(context->exchange_->request_, aData, *aSize);
      *aSize = 0;
      return MHD_YES;
    }
    if (!context->handled_) {
      context->handled_ = true;
      context->exchange_->request_.readDelay_ = TimeSinceLastData(aConnection);
      handler_(context->exchange_);
    }
    return context->exchange_->QueueAnswerOrSuspend(context->exchange_);
  }

  RequestContext* BeginRequest(MHD_Connection* aConnection,
                               const char* aUrl,
                               const char* aMethod)
  {
    auto exchange = std::make_shared<MhdExchange>(aConnection);
    exchange->request_.method_ = aMethod;
    exchange->request_.path_ = aUrl;
    MHD_get_connection_values(aConnection,
                              MHD_HEADER_KIND,
                              &CollectField,
                              &exchange->request_.headers_);
    MHD_get_connection_values(aConnection,
                              MHD_GET_ARGUMENT_KIND,
                              &CollectField,
                              &exchange->request_.query_);
    ++openExchanges_;
    return new RequestContext{ std::move(exchange) };
  }

  void AppendBody(Request& aRequest, const char* aData, std::size_t aSize) const
  {
    if (aRequest.body_.size() + aSize > options_.maxBodyBytes_) {
      aRequest.tooLarge_ = true;
      aRequest.body_.clear();
    }
    if (!aRequest.tooLarge_) {
      aRequest.body_.append(aData, aSize);
    }
  }

  void CompleteRequest(void** aContext)
  {
    auto* context = static_cast<RequestContext*>(*aContext);
    if (context == nullptr) {
      return;
    }
    context->exchange_->Close();
    delete context;
    *aContext = nullptr;
    --openExchanges_;
  }
};

Server::Server(const ServerOptions& aOptions, Handler aHandler)
  : impl_(std::make_unique<Impl>())
{
  impl_->options_ = aOptions;
  impl_->handler_ = std::move(aHandler);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aOptions.port_);
  if (inet_pton(AF_INET, aOptions.address_.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error(
      absl::StrCat("'",
                   aOptions.address_,
                   "' is not an IPv4 address; use one such as 10.0.0.1"));
  }
  impl_->daemon_ = MHD_start_daemon(
    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
    aOptions.port_,
    nullptr,
    nullptr,
    [](void* aImpl,
       MHD_Connection* aConnection,
       const char* aUrl,
       const char* aMethod,
       const char* /*aVersion*/,
       const char* aData,
       std::size_t* aSize,
       void** aContext) {
      return static_cast<Impl*>(aImpl)->HandleRequest(
        aConnection, aUrl, aMethod, aData, aSize, aContext);
    },
    impl_.get(),
    MHD_OPTION_SOCK_ADDR,
    &address,
    MHD_OPTION_THREAD_POOL_SIZE,
    aOptions.threads_,
    MHD_OPTION_CONNECTION_LIMIT,
    aOptions.maxConnections_,
    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
    kConnectionMemoryBytes,
    MHD_OPTION_CONNECTION_TIMEOUT,
    kIdleTimeoutSeconds,
    MHD_OPTION_LISTENING_ADDRESS_REUSE,
    1U,
    MHD_OPTION_NOTIFY_COMPLETED,
    static_cast<MHD_RequestCompletedCallback>([](void* aImpl,
                                                 MHD_Connection*,
                                                 void** aContext,
                                                 MHD_RequestTerminationCode) {
      static_cast<Impl*>(aImpl)->CompleteRequest(aContext);
    }),
    impl_.get(),
    MHD_OPTION_END);
  if (impl_->daemon_ == nullptr) {
    throw std::runtime_error(absl::StrCat("can't listen on ",
                                          aOptions.address_,
                                          ":",
                                          aOptions.port_,
                                          "; choose a free address and port"));
  }
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(impl_->daemon_, MHD_DAEMON_INFO_BIND_PORT);
  impl_->port_ = info->port;
}

Server::~Server()
{
  // libmicrohttpd must not be stopped while a connection is suspended, and a
  // handler may still hold an exchange. While exchanges are open, the daemon is
  // therefore left running until the process exits.
  if (impl_->openExchanges_ == 0) {
    MHD_stop_daemon(impl_->daemon_);
  } else {
    StopListening();
    // The daemon's threads still use impl_.
    static_cast<void>(impl_.release());
  }
}

std::uint16_t
Server::Port() const
{
  return impl_->port_;
}

void
Server::StopListening()
{
  if (const MHD_socket socket = MHD_quiesce_daemon(impl_->daemon_);
      socket >= 0) {
    close(socket);
  }
}

std::size_t
Server::OpenExchanges() const
{
  return impl_->openExchanges_;
}

} // namespace lycheeplank::net
