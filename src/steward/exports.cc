#include "steward/exports.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "adapters/engine.h"
#include "adapters/store.h"
#include "steward/clock.h"
#include "steward/run-reports.h"

namespace lycheeplank::steward {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
constexpr absl::Duration kReportTimeout = absl::Seconds(5);
// Limit of queued events of the thread of exports. Runs beyond it are dropped.
constexpr std::size_t kMaxQueuedEvents = 4096;
constexpr int kStatusConflict = 409;
constexpr int kStatusNotFound = 404;
constexpr absl::string_view kPlainText = "text/plain";

void
Reply(net::Exchange& aExchange, int aStatus, std::string aBody)
{
  aExchange.Reply(
    aStatus, { { "Content-Type", std::string(kPlainText) } }, std::move(aBody));
}

offload::StoredBlock
ToStoredBlock(const adapters::ExportedBlock& aBlock)
{
  return { aBlock.key_, {}, aBlock.generation_, aBlock.bytes_ };
}

offload::ExportReported
MakeExportReported(std::uint64_t aId, const net::Answer& aAnswer)
{
  offload::ExportReported report;
  report.id_ = aId;
  const auto state =
    aAnswer.Ok() ? adapters::ReadExport(aAnswer.body_) : absl::nullopt;
  if (!state) {
    // An engine that was restarted no longer has the export.
    report.status_ = aAnswer.end_.status_ == kStatusNotFound
                       ? offload::ExportStatus::Lost
                       : offload::ExportStatus::Unreachable;
    return report;
  }
  report.weightVersion_ = state->weightVersion_;
  report.status_ = state->running_ ? offload::ExportStatus::Running
                   : state->done_  ? offload::ExportStatus::Done
                                   : offload::ExportStatus::Failed;
  std::transform(state->blocks_.begin(),
                 state->blocks_.end(),
                 std::back_inserter(report.blocks_),
                 ToStoredBlock);
  return report;
}

offload::InventoryRead
MakeInventoryRead(const std::string& aStore, const net::Answer& aAnswer)
{
  offload::InventoryRead read;
  read.store_ = aStore;
  const auto page =
    aAnswer.Ok() ? adapters::ReadStorePage(aAnswer.body_) : absl::nullopt;
  if (!page) {
    return read;
  }
  read.reached_ = true;
  read.more_ = page->more_;
  for (const auto& block : page->blocks_) {
    read.blocks_.push_back(
      { block.key_, block.root_, block.generation_, block.bytes_ });
  }
  return read;
}

offload::StoreReported
MakeStoreReported(const std::string& aStore, const net::Answer& aAnswer)
{
  offload::StoreReported report;
  report.store_ = aStore;
  const auto load =
    aAnswer.Ok() ? adapters::ReadStoreLoad(aAnswer.body_) : absl::nullopt;
  if (load) {
    report.reached_ = true;
    report.usedBytes_ = load->memoryUsed_ + load->diskUsed_;
    report.linkBacklogBytes_ = load->linkBacklogBytes_;
  }
  return report;
}

offload::FreeResult
FreeResultOf(const net::Answer& aAnswer)
{
  if (aAnswer.Ok()) {
    return offload::FreeResult::Freed;
  }
  return aAnswer.end_.status_ == kStatusConflict ? offload::FreeResult::Pinned
                                                 : offload::FreeResult::Failed;
}

} // namespace

ExportService::ExportService(const Settings& aSettings,
                             net::Client& aClient,
                             metrics::Registry& aMetrics)
  : settings_(aSettings)
  , client_(aClient)
  , metrics_(aMetrics)
  , state_(offload::Start(aSettings.name_))
  , thread_(
      "exports",
      [this](const offload::EventBody& aBody) { Handle(aBody); },
      [this] {
        Handle(offload::Tick{});
        return kTickPeriod;
      })
{
}

void
ExportService::Start()
{
  thread_.Start();
}

void
ExportService::HandleRolloutEvent(const EventBody& aBody)
{
  if (const auto* config = std::get_if<rollout::ConfigChanged>(&aBody)) {
    Post(offload::ConfigChanged{ config->config_ });
  } else if (const auto* hosts = std::get_if<rollout::HostsChanged>(&aBody)) {
    Post(offload::HostsChanged{ hosts->hosts_ });
  }
}

void
ExportService::HandleRequest(const std::shared_ptr<net::Exchange>& aExchange)
{
  const auto& request = aExchange->request_;
  if (request.path_ == "/healthz") {
    Reply(*aExchange, 200, "ok\n");
  } else if (request.path_ == "/metrics") {
    Reply(*aExchange, 200, metrics_.Text());
  } else if (request.path_ == "/internal/runs" && request.method_ == "POST") {
    ReceiveRuns(*aExchange);
  } else {
    Reply(*aExchange, kStatusNotFound, "not found\n");
  }
}

void
ExportService::ReceiveRuns(net::Exchange& aExchange)
{
  const auto& request = aExchange.request_;
  const auto expected = absl::StrCat("Bearer ", settings_.tokenSecret_);
  if (!core::EqualConstantTime(
        net::FindField(request.headers_, "Authorization"), expected)) {
    Reply(aExchange, 401, "the token secret of this host is required\n");
    return;
  }
  auto runs = request.tooLarge_ ? absl::nullopt : ParseRuns(request.body_);
  if (!runs) {
    Reply(aExchange, 400, "malformed runs; see docs/exports.md\n");
    return;
  }
  PostRuns(std::move(*runs));
  Reply(aExchange, 202, "");
}

void
ExportService::PostRuns(std::vector<offload::FinishedRun> aRuns)
{
  std::vector<offload::EventBody> events;
  events.reserve(aRuns.size());
  for (auto& run : aRuns) {
    events.emplace_back(offload::RunFinished{ std::move(run) });
  }
  const std::size_t count = events.size();
  const std::size_t accepted =
    thread_.PostSome(std::move(events), kMaxQueuedEvents);
  metrics_.Count(
    "reported_runs_total", "result", "taken", static_cast<double>(accepted));
  if (accepted < count) {
    metrics_.Count("reported_runs_total",
                   "result",
                   "dropped",
                   static_cast<double>(count - accepted));
  }
}

void
ExportService::Post(offload::EventBody aBody)
{
  thread_.Post(std::move(aBody));
}

void
ExportService::Handle(const offload::EventBody& aBody)
{
  for (const auto& effect : offload::Step(state_, { BootTime(), aBody })) {
    std::visit([this](const auto& aEffect) { Perform(aEffect); }, effect);
  }
  if (const auto violation = offload::BrokenInvariant(state_);
      !violation.empty()) {
    LOG(FATAL) << "event=invariant_broken part=exports detail=\"" << violation
               << '"';
  }
}

void
ExportService::Perform(const offload::StartExport& aEffect)
{
  client_.Fetch(
    adapters::StartExport(
      aEffect.engineUrl_, aEffect.storeUrl_, aEffect.blocks_),
    [this, id = aEffect.id_](net::Answer&& aAnswer) {
      const auto name =
        aAnswer.Ok() ? adapters::ReadExportId(aAnswer.body_) : absl::nullopt;
      const bool accepted = name && !name->empty();
      Post(offload::ExportStarted{ id, accepted, name.value_or("") });
    });
}

void
ExportService::Perform(const offload::PollExport& aEffect)
{
  client_.Fetch(adapters::QueryExport(aEffect.engineUrl_, aEffect.exportName_),
                [this, id = aEffect.id_](net::Answer&& aAnswer) {
                  Post(MakeExportReported(id, aAnswer));
                });
}

void
ExportService::Perform(const offload::PollStore& aEffect)
{
  client_.Fetch(adapters::QueryStoreLoad(aEffect.url_),
                [this, store = aEffect.store_](net::Answer&& aAnswer) {
                  Post(MakeStoreReported(store, aAnswer));
                });
}

void
ExportService::Perform(const offload::ReportSightings& aEffect)
{
  net::Call call;
  call.method_ = "POST";
  call.url_ = settings_.entryUrl_ + "/internal/sightings";
  call.headers_ = { { "Authorization",
                      absl::StrCat("Bearer ", settings_.tokenSecret_) },
                    { "Content-Type", "application/json" } };
  call.body_ = FormatSightings(aEffect);
  call.timeout_ = kReportTimeout;
  client_.Fetch(std::move(call),
                [this, count = aEffect.blocks_.size()](net::Answer&& aAnswer) {
                  const bool reported = aAnswer.Ok();
                  metrics_.Count("told_sightings_total",
                                 "result",
                                 reported ? "told" : "failed",
                                 static_cast<double>(count));
                  if (!reported) {
                    LOG(WARNING) << "event=sightings_not_told status="
                                 << aAnswer.end_.status_ << " blocks=" << count
                                 << " error=\"" << aAnswer.end_.error_ << '"';
                  }
                });
}

void
ExportService::Perform(const offload::FetchInventory& aEffect)
{
  const auto after = aEffect.after_ ? core::ToHex(*aEffect.after_) : "";
  client_.Fetch(adapters::QueryStorePage(aEffect.url_, after),
                [this, store = aEffect.store_](net::Answer&& aAnswer) {
                  Post(MakeInventoryRead(store, aAnswer));
                });
}

void
ExportService::Perform(const offload::FreeBlock& aEffect)
{
  client_.Fetch(
    adapters::FreeBlock(
      aEffect.url_, aEffect.block_.key_, aEffect.block_.generation_),
    [this,
     store = aEffect.store_,
     block = aEffect.block_,
     reason = aEffect.reason_](net::Answer&& aAnswer) {
      Post(offload::FreeEnded{ store, block, reason, FreeResultOf(aAnswer) });
    });
}

void
ExportService::Perform(const offload::Log& aEffect)
{
  LOG(INFO) << aEffect.line_;
}

void
ExportService::Perform(const offload::Count& aEffect)
{
  const auto name = core::NameOf(offload::kCounters, aEffect.counter_);
  const auto amount = static_cast<double>(aEffect.amount_);
  if (aEffect.result_.empty()) {
    metrics_.Count(name, amount);
  } else {
    metrics_.Count(name, "result", aEffect.result_, amount);
  }
}

} // namespace lycheeplank::steward
