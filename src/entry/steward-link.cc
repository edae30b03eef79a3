#include "entry/steward-link.h"

#include <pthread.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "entry/problem.h"

namespace lycheeplank::entry {

namespace {

using nlohmann::json;

constexpr absl::string_view kInternalPrefix = "/internal/";
// Time between two batches of completed runs.
constexpr absl::Duration kBatchInterval = absl::Milliseconds(100);
// Maximum number of queued runs; further runs are dropped. Their blocks are
// then recomputed when the prompts recur.
constexpr std::size_t kMaxQueuedRuns = 4096;

json
ToJson(const reducer::ReportRun& aRun)
{
  json chain = json::array();
  for (const auto& block : aRun.chain_) {
    chain.push_back(core::ToHex(block));
  }
  json run{ { "workspace", aRun.workspace_ },
            { "model", aRun.model_ },
            { "weight_version", aRun.weightVersion_ },
            { "target", aRun.target_ },
            { "chain", std::move(chain) },
            { "reused_blocks", aRun.reusedBlocks_ },
            { "age_ms", absl::ToInt64Milliseconds(aRun.age_) } };
  if (aRun.holdings_) {
    json& holdings = run["holdings"] = json::array();
    for (const auto& holding : *aRun.holdings_) {
      holdings.push_back(
        { { "store", holding.store_ }, { "blocks", holding.blocks_ } });
    }
  }
  return run;
}

core::BlockKey
ReadBlockKey(const json& aItem, const char* aName)
{
  return core::BlockKeyFromHex(aItem.value(aName, ""))
    .value_or(core::BlockKey{});
}

// Reads the blocks that the steward has exported or freed.
reducer::StoreBlocksChanged
ReadSightings(const json& aBody)
{
  reducer::StoreBlocksChanged event;
  event.store_ = aBody.value("holder", "");
  for (const auto& item : aBody.value("sightings", json::array())) {
    event.sightings_.push_back({ ReadBlockKey(item, "block"),
                                 ReadBlockKey(item, "root"),
                                 item.value("present", true),
                                 item.value("on_disk", false)
                                   ? directory::Tier::Disk
                                   : directory::Tier::Memory,
                                 item.value("generation", std::uint64_t{ 0 }),
                                 item.value("bytes", std::uint64_t{ 0 }) });
  }
  return event;
}

void
ReceiveSightings(Control& aControl, net::Exchange& aExchange)
{
  try {
    aControl.Post(ReadSightings(json::parse(aExchange.request_.body_)));
    ReplyJson(aExchange, 202, "{}");
  } catch (const json::exception& error) {
    ReplyProblem(
      aExchange, { core::ErrorKind::MalformedRequest, error.what() }, "");
  }
}

json
LiveHostsJson(const reducer::State& aState)
{
  json hosts = json::array();
  for (const auto& host : aState.liveHosts_) {
    hosts.push_back(
      { { "name", host.name_ }, { "data_centre", host.dataCentre_ } });
  }
  return hosts;
}

// Answers with this host's name and with the live hosts and their data centres.
void
ReplyLiveHosts(Control& aControl, net::Exchange& aExchange)
{
  json body;
  aControl.Inspect([&](const reducer::State& aState) {
    body["self"] = aState.self_.name_;
    body["hosts"] = LiveHostsJson(aState);
  });
  ReplyJson(aExchange, 200, body.dump());
}

// Answers with the revision of the configuration and the names of the live
// hosts, and with the document if its revision is above the query's "known".
void
ReplyConfig(Control& aControl, net::Exchange& aExchange)
{
  std::uint64_t known = 0;
  if (!absl::SimpleAtoi(net::FindField(aExchange.request_.query_, "known"),
                        &known)) {
    known = 0;
  }
  json body{ { "revision", 0 },
             { "document", "" },
             { "hosts", json::array() } };
  aControl.Inspect([&](const reducer::State& aState) {
    for (const auto& host : aState.liveHosts_) {
      body["hosts"].push_back(host.name_);
    }
    const auto& accepted = aState.configSync_.inForce_;
    if (!accepted) {
      return;
    }
    body["revision"] = accepted->head_.revision_;
    if (accepted->head_.revision_ > known) {
      body["document"] = config::Join(accepted->sections_);
    }
  });
  ReplyJson(aExchange, 200, body.dump());
}

} // namespace

StewardLink::StewardLink(net::Client& aClient,
                         std::string aUrl,
                         std::string aSecret)
  : client_(aClient)
  , url_(std::move(aUrl))
  , secret_(std::move(aSecret))
{
}

StewardLink::~StewardLink()
{
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
StewardLink::Start()
{
  if (!url_.empty()) {
    thread_ = std::thread([this] { Run(); });
  }
}

void
StewardLink::Perform(const reducer::ReportRun& aRun)
{
  const absl::MutexLock lock(&mutex_);
  if (!url_.empty() && queuedRuns_.size() < kMaxQueuedRuns) {
    queuedRuns_.push_back(aRun);
  }
}

void
StewardLink::Run()
{
  pthread_setname_np(pthread_self(), "steward-link");
  while (true) {
    std::vector<reducer::ReportRun> runs;
    {
      const absl::MutexLock lock(&mutex_);
      const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !queuedRuns_.empty();
      };
      mutex_.Await(absl::Condition(&ready));
      if (stopping_) {
        return;
      }
      std::swap(runs, queuedRuns_);
    }
    Send(runs);
    absl::SleepFor(kBatchInterval);
  }
}

void
StewardLink::Send(const std::vector<reducer::ReportRun>& aRuns)
{
  json body{ { "runs", json::array() } };
  for (const auto& run : aRuns) {
    body["runs"].push_back(ToJson(run));
  }
  net::Call call;
  call.method_ = "POST";
  call.url_ = url_ + "/internal/runs";
  call.headers_ = { { "Content-Type", "application/json" },
                    { "Authorization", "Bearer " + secret_ } };
  call.body_ = body.dump();
  call.timeout_ = absl::Seconds(2);
  client_.Fetch(std::move(call), [](net::Answer&&) {});
}

bool
StewardLink::Serve(Control& aControl,
                   const std::shared_ptr<net::Exchange>& aExchange)
{
  const net::Request& http = aExchange->request_;
  if (!absl::StartsWith(http.path_, kInternalPrefix)) {
    return false;
  }
  absl::string_view secret = net::FindField(http.headers_, "Authorization");
  if (!absl::ConsumePrefix(&secret, "Bearer ") ||
      !core::EqualConstantTime(secret, secret_)) {
    ReplyProblem(*aExchange,
                 { core::ErrorKind::WrongKey,
                   "this path is reserved for the steward on the same host" },
                 "");
  } else if (http.method_ == "GET" && http.path_ == "/internal/config") {
    ReplyConfig(aControl, *aExchange);
  } else if (http.method_ == "GET" && http.path_ == "/internal/hosts") {
    ReplyLiveHosts(aControl, *aExchange);
  } else if (http.method_ == "POST" && http.path_ == "/internal/sightings") {
    ReceiveSightings(aControl, *aExchange);
  } else {
    ReplyProblem(*aExchange, { core::ErrorKind::UnknownPath, http.path_ }, "");
  }
  return true;
}

} // namespace lycheeplank::entry
