#include "lycheeplank/net.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <pthread.h>
#include <thread>
#include <utility>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/types/optional.h>
#include <curl/curl.h>

#include "net/poller.h"

namespace lycheeplank::net {

namespace {

// HTTP defines statuses of five classes; callers can't interpret others.
constexpr long kLeastStatus = 100;
constexpr long kGreatestStatus = 599;
// Size of libcurl's receive buffer for one call.
constexpr long kReceiveBufferBytes = 8192;
constexpr long kMaxIdleConnections = 256;
// Buffered data of a call is delivered once it is larger than this.
constexpr std::size_t kDeliveryThresholdBytes = 64UL << 10U;
// Not affected by changes of the system time.
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

constexpr absl::Duration kMaxPollWait = absl::Seconds(1);
// Number of low bits of a call ID that hold the index of its worker.
constexpr unsigned kWorkerBits = 8;

struct ActiveCall;

// Collects received data of one call, so that onData_ runs once for the many
// pieces, one for each chunk, in which libcurl delivers the data.
struct ReceiveBuffer
{
  // The call that the data belongs to; null if there is none.
  ActiveCall* active_ = nullptr;
  std::string data_;
};

// A call that is queued, delayed or in progress.
struct ActiveCall
{
  CallId id_ = 0;
  CURL* easy_ = nullptr;
  curl_slist* headers_ = nullptr;
  Call call_;
  CallEvents events_;
  // Infinite if the call has no timeout.
  absl::Time deadline_ = absl::InfiniteFuture();
  bool statusReported_ = false;
  bool isHeadComplete_ = false;
  bool isStatusValid_ = true;
  // Value of the field in the head that is being received.
  absl::optional<std::int64_t> contentLength_;
  bool isLengthClear_ = true;
  std::vector<Field>* answerHeaders_ = nullptr;
  // The buffer of the worker that runs the call.
  ReceiveBuffer* receiveBuffer_ = nullptr;
};

// Sets the deadline, which is counted from now: the time when the call is
// queued.
void
SetDeadline(ActiveCall& aActive)
{
  if (aActive.call_.timeout_ != absl::InfiniteDuration()) {
    aActive.deadline_ =
      absl::Now() + aActive.call_.delay_ + aActive.call_.timeout_;
  }
}

// Reports the end of a call that was never sent.
void
ReportUnsent(const ActiveCall& aActive, const char* aError)
{
  if (aActive.events_.onEnd_) {
    CallEnd end;
    end.neverSent_ = true;
    end.error_ = aError;
    aActive.events_.onEnd_(end);
  }
}

// Reports the HTTP status once.
void
ReportStatus(ActiveCall& aActive)
{
  if (aActive.statusReported_) {
    return;
  }
  aActive.statusReported_ = true;
  long status = 0;
  curl_easy_getinfo(aActive.easy_, CURLINFO_RESPONSE_CODE, &status);
  if (aActive.events_.onStatus_) {
    aActive.events_.onStatus_(static_cast<int>(status));
  }
}

// Delivers the buffered data to its call and empties the buffer.
void
Deliver(ReceiveBuffer& aBuffer)
{
  const ActiveCall* active = std::exchange(aBuffer.active_, nullptr);
  if (active != nullptr && active->events_.onData_) {
    active->events_.onData_(aBuffer.data_);
  }
  aBuffer.data_.clear();
}

std::size_t
OnData(char* aData, std::size_t aSize, std::size_t aCount, void* aActive)
{
  auto& active = *static_cast<ActiveCall*>(aActive);
  if (!active.isHeadComplete_) {
    // These bytes follow a switch of protocols, which isn't a final answer.
    // Ends the call.
    return 0;
  }
  ReceiveBuffer& buffer = *active.receiveBuffer_;
  if (buffer.active_ != &active ||
      buffer.data_.size() > kDeliveryThresholdBytes) {
    Deliver(buffer);
  }
  ReportStatus(active);
  buffer.active_ = &active;
  buffer.data_.append(aData, aSize * aCount);
  return aSize * aCount;
}

// Handles the end of a head, which is that of the final answer or of an interim
// one; returns whether its status is valid. libcurl reports a call as
// successful if its connection closes before the end of the final head.
bool
EndHead(ActiveCall& aActive)
{
  long status = 0;
  curl_easy_getinfo(aActive.easy_, CURLINFO_RESPONSE_CODE, &status);
  aActive.isStatusValid_ = status >= kLeastStatus && status <= kGreatestStatus;
  if (!aActive.isStatusValid_) {
    return false;
  }
  aActive.isHeadComplete_ = status / 100 != 1;
  aActive.contentLength_.reset();
  if (!aActive.isHeadComplete_ && aActive.answerHeaders_ != nullptr) {
    aActive.answerHeaders_->clear();
  }
  return true;
}

// Returns whether a field leaves the answer's length clear. libcurl reads a
// length up to the first character that isn't a digit, takes the last of
// several, ignores one that is out of range, and takes a name with a space
// before the colon for an unknown one.
bool
LeavesLengthClear(ActiveCall& aActive, const Field& aField)
{
  const auto name = absl::StripTrailingAsciiWhitespace(aField.name_);
  const bool isLength = absl::EqualsIgnoreCase(name, "Content-Length");
  if (!isLength && !absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
    return true;
  }
  if (name.size() != aField.name_.size()) {
    return false;
  }
  if (!isLength) {
    return true;
  }
  std::int64_t length = 0;
  if (!std::all_of(
        aField.value_.begin(), aField.value_.end(), absl::ascii_isdigit) ||
      !absl::SimpleAtoi(aField.value_, &length)) {
    return false;
  }
  const auto before = std::exchange(aActive.contentLength_, length);
  return before.value_or(length) == length;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aActive)
{
  auto& active = *static_cast<ActiveCall*>(aActive);
  const absl::string_view line(aData, aSize * aCount);
  if (active.isHeadComplete_) {
    // A field of the trailer.
    return line.size();
  }
  // To libcurl, a line that begins with a line break ends the head. A line of
  // spaces continues the field before it.
  if (absl::StartsWith(line, "\r") || absl::StartsWith(line, "\n")) {
    // No bytes end the call.
    return EndHead(active) ? line.size() : 0;
  }
  const auto colon = line.find(':');
  if (colon == absl::string_view::npos) {
    return line.size();
  }
  Field field{ std::string(line.substr(0, colon)),
               std::string(
                 absl::StripAsciiWhitespace(line.substr(colon + 1))) };
  active.isLengthClear_ = LeavesLengthClear(active, field);
  if (!active.isLengthClear_) {
    // Ends the call.
    return 0;
  }
  if (active.answerHeaders_ != nullptr) {
    active.answerHeaders_->push_back(std::move(field));
  }
  return line.size();
}

// Checks the deadline just before a request is sent on a connection. libcurl's
// own timeout starts when libcurl takes up the call, which may be long after
// the call was queued if the process was stopped in between.
int
OnBeforeSend(void* aActive, char*, char*, int, int)
{
  const auto& active = *static_cast<const ActiveCall*>(aActive);
  return absl::Now() < active.deadline_ ? CURL_PREREQFUNC_OK
                                        : CURL_PREREQFUNC_ABORT;
}

void
SetOptions(ActiveCall& aActive)
{
  CURL* easy = aActive.easy_;
  const Call& call = aActive.call_;
  curl_easy_setopt(easy, CURLOPT_URL, call.url_.c_str());
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(
    easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aActive);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aActive);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aActive);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aActive);
  curl_easy_setopt(
    easy,
    CURLOPT_CONNECTTIMEOUT_MS,
    static_cast<long>(absl::ToInt64Milliseconds(call.connectTimeout_)));
  if (call.timeout_ != absl::InfiniteDuration()) {
    curl_easy_setopt(
      easy,
      CURLOPT_TIMEOUT_MS,
      std::max(1L,
               static_cast<long>(absl::ToInt64Milliseconds(call.timeout_))));
  }
  if (call.idleTimeout_ > absl::ZeroDuration()) {
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(
      easy,
      CURLOPT_LOW_SPEED_TIME,
      std::max(1L, static_cast<long>(absl::ToInt64Seconds(call.idleTimeout_))));
  }
  if (call.freshConnection_) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (call.method_ != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method_.c_str());
    curl_easy_setopt(
      easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body_.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body_.c_str());
  }
  // Without this header libcurl waits for a "100 Continue" on larger bodies.
  aActive.headers_ = curl_slist_append(nullptr, "Expect:");
  for (const auto& header : call.headers_) {
    aActive.headers_ = curl_slist_append(
      aActive.headers_,
      absl::StrCat(header.name_, ": ", header.value_).c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aActive.headers_);
}

} // namespace

// A thread that runs calls with libcurl.
struct Client::Worker
{
  // A call to start or to cancel.
  struct Command
  {
    // The call to start; null for a cancellation.
    std::unique_ptr<ActiveCall> start_;
    CallId cancel_ = 0;
  };

  explicit Worker()
    : multi_(curl_multi_init())
  {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    thread_ = std::thread([this] { Run(); });
  }

  ~Worker()
  {
    {
      const absl::MutexLock lock(&mutex_);
      stopping_ = true;
    }
    poller_.Wake();
    thread_.join();
    while (!activeCalls_.empty()) {
      FinishCall(activeCalls_.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
    curl_multi_cleanup(multi_);
  }

  void Push(Command aCommand)
  {
    {
      const absl::MutexLock lock(&mutex_);
      commands_.push_back(std::move(aCommand));
    }
    poller_.Wake();
  }

  static int OnSocket(CURL*,
                      curl_socket_t aSocket,
                      int aInterest,
                      void* aWorker,
                      void*)
  {
    static_cast<Worker*>(aWorker)->poller_.Watch(aSocket, aInterest);
    return 0;
  }

  // Records when libcurl has to be called even if no socket is ready.
  static int OnTimer(CURLM*, long aMilliseconds, void* aWorker)
  {
    static_cast<Worker*>(aWorker)->timer_ =
      aMilliseconds < 0
        ? SteadyTime::max()
        : SteadyClock::now() + std::chrono::milliseconds(aMilliseconds);
    return 0;
  }

  void Run()
  {
    pthread_setname_np(pthread_self(), "http-client");
    Poller::Events events{};
    while (ExecuteCommands()) {
      StartDueCalls();
      HandleTimer();
      FinishEndedCalls();
      const std::size_t ready = poller_.Wait(events, NextWait());
      for (std::size_t i = 0; i < ready; ++i) {
        HandleSocket(events[i]);
      }
    }
  }

  void HandleSocket(const epoll_event& aEvent)
  {
    if (poller_.ConsumeWake(aEvent)) {
      return;
    }
    int running = 0;
    curl_multi_socket_action(
      multi_, aEvent.data.fd, ToCurlReadiness(aEvent.events), &running);
    Deliver(receiveBuffer_);
  }

  void HandleTimer()
  {
    if (timer_ > SteadyClock::now()) {
      return;
    }
    timer_ = SteadyTime::max();
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    Deliver(receiveBuffer_);
  }

  // Executes the queued commands; returns false if the worker is stopping.
  bool ExecuteCommands()
  {
    std::vector<Command> commands;
    {
      const absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return false;
      }
      std::swap(commands, commands_);
    }
    for (auto& command : commands) {
      if (!command.start_) {
        FinishCall(command.cancel_, CURLE_ABORTED_BY_CALLBACK);
      } else if (const auto delay = command.start_->call_.delay_;
                 delay > absl::ZeroDuration()) {
        delayed_.emplace(absl::Now() + delay, std::move(command.start_));
      } else {
        StartCall(std::move(command.start_));
      }
    }
    return true;
  }

  // Starts the delayed calls that are due.
  void StartDueCalls()
  {
    const absl::Time now = absl::Now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
      auto node = delayed_.extract(delayed_.begin());
      StartCall(std::move(node.mapped()));
    }
  }

  // Returns the time until a delayed call or libcurl's timer is due, but at
  // most kMaxPollWait.
  absl::Duration NextWait() const
  {
    absl::Duration wait = kMaxPollWait;
    if (timer_ != SteadyTime::max()) {
      wait = std::min(wait, absl::FromChrono(timer_ - SteadyClock::now()));
    }
    if (!delayed_.empty()) {
      wait = std::min(wait, delayed_.begin()->first - absl::Now());
    }
    return wait;
  }

  // Cancels a call if it is still delayed.
  void CancelDelayed(CallId aId)
  {
    for (auto it = delayed_.begin(); it != delayed_.end(); ++it) {
      if (it->second->id_ != aId) {
        continue;
      }
      const std::unique_ptr<ActiveCall> active = std::move(it->second);
      delayed_.erase(it);
      ReportUnsent(*active, "cancelled before it was sent");
      return;
    }
  }

  void StartCall(std::unique_ptr<ActiveCall> aActive)
  {
    if (aActive->call_.bodySource_) {
      aActive->call_.body_ = aActive->call_.bodySource_();
    }
    if (aActive->deadline_ != absl::InfiniteFuture()) {
      // This thread may have been busy or stopped since the call was queued.
      aActive->call_.timeout_ = aActive->deadline_ - absl::Now();
      if (aActive->call_.timeout_ <= absl::ZeroDuration()) {
        ReportUnsent(*aActive, "deadline passed before it was sent");
        return;
      }
    }
    aActive->receiveBuffer_ = &receiveBuffer_;
    aActive->easy_ = curl_easy_init();
    SetOptions(*aActive);
    curl_multi_add_handle(multi_, aActive->easy_);
    const CallId id = aActive->id_;
    activeCalls_.emplace(id, std::move(aActive));
  }

  // Finishes the calls whose transfers libcurl has ended.
  void FinishEndedCalls()
  {
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      ActiveCall* active = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &active);
      FinishCall(active->id_, message->data.result);
    }
  }

  // Removes a call and reports its end; cancels it if it is still delayed.
  void FinishCall(CallId aId, CURLcode aCode)
  {
    const auto found = activeCalls_.find(aId);
    if (found == activeCalls_.end()) {
      CancelDelayed(aId);
      return;
    }
    const std::unique_ptr<ActiveCall> active = std::move(found->second);
    activeCalls_.erase(found);
    CallEnd end;
    end.completed_ = aCode == CURLE_OK && active->isHeadComplete_;
    long status = 0;
    long sent = 0;
    curl_easy_getinfo(active->easy_, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(active->easy_, CURLINFO_REQUEST_SIZE, &sent);
    end.status_ = static_cast<int>(status);
    end.neverSent_ = sent == 0;
    end.error_ = end.completed_            ? ""
                 : !active->isLengthClear_ ? "the answer's length is in doubt"
                 : !active->isStatusValid_ ? "the answer's status is invalid"
                 : aCode == CURLE_OK       ? "connection closed within the head"
                                           : curl_easy_strerror(aCode);
    if (end.completed_) {
      ReportStatus(*active);
    }
    curl_multi_remove_handle(multi_, active->easy_);
    curl_easy_cleanup(active->easy_);
    curl_slist_free_all(active->headers_);
    active->easy_ = nullptr;
    if (active->events_.onEnd_) {
      active->events_.onEnd_(end);
    }
  }

  Poller poller_;
  CURLM* multi_;
  // When libcurl's timer is due.
  SteadyTime timer_ = SteadyTime::max();
  ReceiveBuffer receiveBuffer_;
  absl::Mutex mutex_;
  std::vector<Command> commands_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  CallId nextId_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::flat_hash_map<CallId, std::unique_ptr<ActiveCall>> activeCalls_;
  std::multimap<absl::Time, std::unique_ptr<ActiveCall>> delayed_;
  std::thread thread_;
};

Client::Client(unsigned aThreads)
{
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialised);
  for (unsigned i = 0; i < std::max(1U, aThreads); ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
}

Client::~Client() = default;

CallId
Client::Start(Call aCall, CallEvents aEvents)
{
  static std::atomic<std::uint64_t> counter{ 0 };
  const std::uint64_t number = ++counter;
  const std::size_t worker = number % workers_.size();
  auto active = std::make_unique<ActiveCall>();
  active->id_ = (number << kWorkerBits) | worker;
  active->call_ = std::move(aCall);
  active->events_ = std::move(aEvents);
  const CallId id = active->id_;
  SetDeadline(*active);
  workers_[worker]->Push({ std::move(active), 0 });
  return id;
}

CallId
Client::Fetch(Call aCall, std::function<void(Answer&&)> aOnAnswer)
{
  static std::atomic<std::uint64_t> counter{ 0 };
  const std::uint64_t number = ++counter;
  const std::size_t worker = number % workers_.size();
  auto answer = std::make_shared<Answer>();
  auto active = std::make_unique<ActiveCall>();
  active->id_ = (number << kWorkerBits) | (1ULL << 63U) | worker;
  active->call_ = std::move(aCall);
  active->answerHeaders_ = &answer->headers_;
  active->events_.onData_ = [answer](absl::string_view aData) {
    answer->body_.append(aData.data(), aData.size());
  };
  active->events_.onEnd_ =
    [answer, onAnswer = std::move(aOnAnswer)](const CallEnd& aEnd) {
      answer->end_ = aEnd;
      onAnswer(std::move(*answer));
    };
  const CallId id = active->id_;
  SetDeadline(*active);
  workers_[worker]->Push({ std::move(active), 0 });
  return id;
}

Answer
Client::FetchAndWait(Call aCall)
{
  absl::Notification done;
  Answer result;
  Fetch(std::move(aCall), [&](Answer&& aAnswer) {
    result = std::move(aAnswer);
    done.Notify();
  });
  done.WaitForNotification();
  return result;
}

void
Client::Cancel(CallId aId)
{
  const std::size_t worker = aId & ((1U << kWorkerBits) - 1);
  workers_[worker % workers_.size()]->Push({ nullptr, aId });
}

} // namespace lycheeplank::net
