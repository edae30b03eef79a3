#include "gateway/gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <absl/strings/strip.h>
#include <boost/asio/buffer.hpp>

#include "gateway/clock.h"
#include "gateway/demand.h"
#include "gateway/permits.h"
#include "gateway/poison-blocks.h"
#include "gateway/warmup.h"

namespace lycheeplank::gateway {

namespace {

using Udp = boost::asio::ip::udp;

// Changes within this time are sent in one message. It is short compared with
// the prefill of a prompt, which takes tens to hundreds of milliseconds.
constexpr absl::Duration kLocalBatchTime = absl::Milliseconds(10);
// Batch time for other data centres, to which traffic is expensive.
constexpr absl::Duration kRemoteBatchTime = absl::Milliseconds(100);
// Batch time of a collector for other data centres. A single request changes
// the total load of a large data centre less.
constexpr absl::Duration kCollectorRemoteBatchTime = absl::Milliseconds(250);
// Batch time for each receiving host, so that the rate of messages stays
// bounded as hosts are added.
constexpr absl::Duration kBatchTimePerHost = absl::Milliseconds(5);
// Batch time of a host that sends to its collector. In a large data centre one
// host, the collector, gets all loads and sends them to the other hosts of the
// data centre and to the other data centres.
constexpr absl::Duration kToCollectorBatchTime = absl::Milliseconds(50);
// Rate of a host's messages to local peers, half of a link of 10 Mbit/s, and
// the longest batch time that keeps to it: loads pass two hosts with this
// delay, and count as unknown after a second.
constexpr double kLoadBytesPerSecond = 600e3;
constexpr absl::Duration kMaxLocalBatchTime = absl::Milliseconds(350);
// Messages count tokens in units of this many.
constexpr std::uint64_t kTokenUnit = 64;
constexpr std::uint64_t kMaxUnits = UINT16_MAX;
// Bytes of a row count; of a load (short name, requests in flight, urgent,
// other and held tokens); of the reads from one store (short name, all reads,
// late reads); of an unreachable target (short name, reports).
constexpr std::size_t kCountBytes = 2;
constexpr std::size_t kLoadBytes = 11;
constexpr std::size_t kReadBytes = 8;
constexpr std::size_t kDownBytes = 5;
// Marks a message of reported loads. Earlier releases take the first byte for
// an empty host name and drop the message.
constexpr absl::string_view kReportMarker("\0l", 2);
// Bytes of a reported load (short name, running and waiting requests, slowness
// in percent, age), and the unit of the age, in which a byte holds more than
// fleet::kMaxLoadAge. Bytes of a demand (data centre, service, whether it is a
// total, calls, tokens).
constexpr std::size_t kReportBytes = 9;
constexpr std::size_t kDemandBytes = 16;
constexpr absl::Duration kAgeUnit = absl::Milliseconds(4);
constexpr double kPercent = 100.0;
// Age at which the list of targets' short names is rebuilt; the reported loads
// of a new target are dropped until then.
constexpr absl::Duration kTargetIdsAge = absl::Milliseconds(500);
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint64_t kByteMask = 0xff;

absl::Duration
BatchTimeFor(absl::Duration aMin, std::size_t aPeers)
{
  return std::max(aMin, kBatchTimePerHost * static_cast<double>(aPeers));
}

void
AppendNumber(std::string& aText, std::uint64_t aNumber, std::size_t aBytes)
{
  for (std::size_t i = 0; i < aBytes; ++i) {
    aText.push_back(
      static_cast<char>((aNumber >> (kBitsPerByte * i)) & kByteMask));
  }
}

std::uint64_t
ReadNumber(absl::string_view& aText, std::size_t aBytes)
{
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < aBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aText[i]);
    number |= std::uint64_t{ byte } << (kBitsPerByte * i);
  }
  aText.remove_prefix(aBytes);
  return number;
}

// Reads a row count; returns nothing if the text is too short for the rows.
absl::optional<std::uint64_t>
ReadRowCount(absl::string_view& aText, std::size_t aRowBytes)
{
  if (aText.size() < kCountBytes) {
    return absl::nullopt;
  }
  const auto count = ReadNumber(aText, kCountBytes);
  return aText.size() < count * aRowBytes ? absl::nullopt
                                          : absl::make_optional(count);
}

std::uint64_t
TokenUnits(std::uint64_t aTokens)
{
  return std::min(kMaxUnits, (aTokens + kTokenUnit - 1) / kTokenUnit);
}

} // namespace

absl::Duration
LocalBatchTime(std::size_t aPeers, std::size_t aBytes)
{
  const auto bytes = static_cast<double>(aPeers * aBytes);
  return std::max(
    BatchTimeFor(kLocalBatchTime, aPeers),
    std::min(kMaxLocalBatchTime, absl::Seconds(bytes / kLoadBytesPerSecond)));
}

BatchTimes
BatchTimesOf(GossipRole aRole,
             std::size_t aPeers,
             std::size_t aBytes,
             std::size_t aHosts)
{
  switch (aRole) {
    case GossipRole::Sender:
      return { kToCollectorBatchTime, absl::InfiniteDuration() };
    case GossipRole::Forwarder:
      return { LocalBatchTime(aPeers, aBytes), kToCollectorBatchTime };
    case GossipRole::Collector:
      return { LocalBatchTime(aPeers, aBytes), kCollectorRemoteBatchTime };
    case GossipRole::Equal:
      break;
  }
  return { LocalBatchTime(aPeers, aBytes),
           BatchTimeFor(kRemoteBatchTime, aHosts) };
}

std::string
WriteReports(const ReportMessage& aMessage)
{
  std::string text(kReportMarker);
  AppendNumber(text, aMessage.host_.size(), 1);
  text.append(aMessage.host_);
  const auto demands =
    std::min<std::size_t>(aMessage.demands_.size(), kByteMask);
  AppendNumber(text, demands, 1);
  for (std::size_t i = 0; i < demands; ++i) {
    const auto& [dataCentre, service, isTotal, demand] = aMessage.demands_[i];
    AppendNumber(text, dataCentre, 4);
    AppendNumber(text, service, 4);
    AppendNumber(text, isTotal ? 1 : 0, 1);
    AppendNumber(text, static_cast<std::uint64_t>(demand.calls_), 3);
    AppendNumber(text,
                 static_cast<std::uint64_t>(demand.tokens_ /
                                            static_cast<double>(kTokenUnit)),
                 4);
  }
  for (const auto& [target, load, age] : aMessage.loads_) {
    const auto percent =
      std::clamp(std::round(kPercent * load.slowness_.value_or(1.0)),
                 1.0,
                 static_cast<double>(kMaxUnits));
    // Rounded up, so that a report that comes back to the host that received it
    // from the target doesn't look newer.
    const auto units =
      std::clamp<std::int64_t>(absl::Ceil(age, kAgeUnit) / kAgeUnit,
                               0,
                               static_cast<std::int64_t>(kByteMask));
    AppendNumber(text, target, 4);
    AppendNumber(text, std::min<std::uint64_t>(load.running_, kByteMask), 1);
    AppendNumber(text, std::min<std::uint64_t>(load.waiting_, kByteMask), 1);
    AppendNumber(text, static_cast<std::uint64_t>(percent), 2);
    AppendNumber(text, static_cast<std::uint64_t>(units), 1);
  }
  return text;
}

absl::optional<ReportMessage>
ReadReports(absl::string_view aText)
{
  if (!absl::ConsumePrefix(&aText, kReportMarker) || aText.empty()) {
    return absl::nullopt;
  }
  const auto size = ReadNumber(aText, 1);
  if (size == 0 || aText.size() <= size) {
    return absl::nullopt;
  }
  ReportMessage message;
  message.host_ = std::string(aText.substr(0, size));
  aText.remove_prefix(size);
  const auto demands = ReadNumber(aText, 1);
  if (aText.size() < demands * kDemandBytes ||
      (aText.size() - demands * kDemandBytes) % kReportBytes != 0) {
    return absl::nullopt;
  }
  for (std::uint64_t i = 0; i < demands; ++i) {
    spillover::DemandRow row;
    row.dataCentre_ = static_cast<std::uint32_t>(ReadNumber(aText, 4));
    row.service_ = static_cast<std::uint32_t>(ReadNumber(aText, 4));
    row.isTotal_ = ReadNumber(aText, 1) != 0;
    row.demand_.calls_ = static_cast<double>(ReadNumber(aText, 3));
    row.demand_.tokens_ =
      static_cast<double>(kTokenUnit * ReadNumber(aText, 4));
    message.demands_.push_back(row);
  }
  while (!aText.empty()) {
    fleet::ReportedLoad load;
    load.target_ = static_cast<std::uint32_t>(ReadNumber(aText, 4));
    load.load_.running_ = static_cast<std::uint32_t>(ReadNumber(aText, 1));
    load.load_.waiting_ = static_cast<std::uint32_t>(ReadNumber(aText, 1));
    const auto percent = ReadNumber(aText, 2);
    if (percent == 0) {
      return absl::nullopt;
    }
    load.load_.slowness_ = static_cast<double>(percent) / kPercent;
    load.age_ = kAgeUnit * static_cast<double>(ReadNumber(aText, 1));
    message.loads_.push_back(load);
  }
  return message;
}

std::string
WriteMessage(const LoadMessage& aMessage)
{
  std::string text;
  AppendNumber(text, aMessage.host_.size(), 1);
  text.append(aMessage.host_);
  AppendNumber(text, aMessage.loads_.size(), kCountBytes);
  for (const auto& load : aMessage.loads_) {
    AppendNumber(text, load.target_, 4);
    AppendNumber(text, std::min<std::uint64_t>(load.inFlight_, kByteMask), 1);
    AppendNumber(text, TokenUnits(load.urgentTokens_), 2);
    AppendNumber(text, TokenUnits(load.otherTokens_), 2);
    AppendNumber(text, TokenUnits(load.heldTokens_), 2);
  }
  AppendNumber(text, aMessage.reads_.size(), kCountBytes);
  for (const auto& [store, count] : aMessage.reads_) {
    AppendNumber(text, store, 4);
    AppendNumber(text, std::min(kMaxUnits, std::uint64_t{ count.reads_ }), 2);
    AppendNumber(text, std::min(kMaxUnits, std::uint64_t{ count.late_ }), 2);
  }
  for (const auto& [target, reports] : aMessage.down_) {
    AppendNumber(text, target, 4);
    AppendNumber(text, std::min<std::uint64_t>(reports, kByteMask), 1);
  }
  return text;
}

LoadMessage
ReadMessage(absl::string_view aText)
{
  if (aText.empty()) {
    return {};
  }
  const auto size = ReadNumber(aText, 1);
  if (size == 0 || aText.size() < size) {
    return {};
  }
  LoadMessage message;
  message.host_ = std::string(aText.substr(0, size));
  aText.remove_prefix(size);
  const auto loads = ReadRowCount(aText, kLoadBytes);
  if (!loads) {
    return {};
  }
  for (std::uint64_t i = 0; i < *loads; ++i) {
    fleet::PeerLoad load;
    load.target_ = static_cast<std::uint32_t>(ReadNumber(aText, 4));
    load.inFlight_ = static_cast<std::uint32_t>(ReadNumber(aText, 1));
    load.urgentTokens_ = kTokenUnit * ReadNumber(aText, 2);
    load.otherTokens_ = kTokenUnit * ReadNumber(aText, 2);
    load.heldTokens_ = kTokenUnit * ReadNumber(aText, 2);
    message.loads_.push_back(load);
  }
  const auto reads = ReadRowCount(aText, kReadBytes);
  if (!reads || (aText.size() - *reads * kReadBytes) % kDownBytes != 0) {
    return {};
  }
  for (std::uint64_t i = 0; i < *reads; ++i) {
    const auto store = static_cast<std::uint32_t>(ReadNumber(aText, 4));
    auto& count = message.reads_[store];
    count.reads_ = static_cast<std::uint32_t>(ReadNumber(aText, 2));
    count.late_ = static_cast<std::uint32_t>(ReadNumber(aText, 2));
  }
  while (!aText.empty()) {
    const auto target = static_cast<std::uint32_t>(ReadNumber(aText, 4));
    message.down_[target] = static_cast<std::uint32_t>(ReadNumber(aText, 1));
  }
  return message;
}

Gossip::Gossip(Host& aHost, const std::string& aAddress)
  : host_(aHost)
  , socket_(aHost.loop_)
  , localTimer_(aHost.loop_)
  , remoteTimer_(aHost.loop_)
  , limitsTimer_(aHost.loop_)
  , blocksTimer_(aHost.loop_)
  , demandTimer_(aHost.loop_)
  , lossesTimer_(aHost.loop_)
{
  const auto address = ParseEndpoint(aAddress);
  socket_.open(Udp::v4());
  socket_.bind({ address.address(), address.port() });
  socket_.non_blocking(true);
  host_.sendDatagram_ = [this](const std::string& aTo,
                               const std::string& aText) {
    SendText(aTo, aText);
  };
  host_.onLoss_ = [this] { ScheduleLosses(); };
  ScheduleTick();
  ScheduleBlockTick();
  ScheduleDemandTick();
  Receive();
}

void
Gossip::Receive()
{
  socket_.async_receive_from(
    boost::asio::buffer(buffer_),
    sender_,
    [this](const boost::system::error_code& aError, std::size_t aSize) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        OnDatagram({ buffer_.data(), aSize });
      }
      Receive();
    });
}

void
Gossip::OnDatagram(absl::string_view aText)
{
  // The other kinds of messages begin with a byte that is no host name's
  // length.
  if (poison::IsMessage(aText)) {
    ReceiveBlockMessage(host_, aText);
    return;
  }
  if (const auto reports = ReadReports(aText)) {
    ApplyReports(*reports);
    return;
  }
  const auto message = ReadMessage(aText);
  if (message.host_.empty()) {
    ReceiveLimitMessage(host_, aText);
  } else {
    OnMessage(message);
  }
}

void
Gossip::ApplyReports(const ReportMessage& aMessage)
{
  if (aMessage.host_ == host_.settings_.name_ ||
      !Uses(host_, mechanisms::Mechanism::LoadReports)) {
    return;
  }
  const auto now = Now();
  const auto sentAt =
    EarliestSendTime(host_.stallDetector_, absl::InfinitePast(), now);
  if (!aMessage.demands_.empty()) {
    host_.demands_[aMessage.host_] = { aMessage.demands_, sentAt };
  }
  if (now - targetIdsAt_ > kTargetIdsAge) {
    targetIds_ = fleet::IdsByHash(host_.members_);
    targetIdsAt_ = now;
  }
  host_.haveTargetsSlowness_ |= !aMessage.loads_.empty();
  fleet::ApplyReportedLoads(host_.members_,
                            targetIds_,
                            aMessage.loads_,
                            sentAt,
                            now,
                            aMessage.host_ != collector_);
}

void
Gossip::ScheduleTick()
{
  limitsTimer_.Set(target_limits::kTickPeriod, [this] {
    TickLimits(host_);
    ScheduleTick();
  });
}

void
Gossip::ScheduleBlockTick()
{
  blocksTimer_.Set(poison::kTickPeriod, [this] {
    TickBlocks(host_);
    ScheduleBlockTick();
  });
}

void
Gossip::ScheduleDemandTick()
{
  demandTimer_.Set(kDemandPeriod, [this] {
    UpdateSpillover(host_);
    if (SharesDemands(host_)) {
      // Hosts without requests report as well, else the others wouldn't know
      // that their data centre has room.
      ScheduleSend();
    }
    ScheduleDemandTick();
  });
}

void
Gossip::ScheduleLosses()
{
  if (std::exchange(areLossesDue_, true)) {
    return;
  }
  lossesTimer_.Set(poison::kLossTime, [this] {
    areLossesDue_ = false;
    TellLosses(host_);
  });
}

void
Gossip::OnMessage(const LoadMessage& aMessage)
{
  if (aMessage.host_.empty() || aMessage.host_ == host_.settings_.name_) {
    return;
  }
  const auto now = Now();
  if (Uses(host_, mechanisms::Mechanism::LoadReports)) {
    fleet::SetPeerLoads(
      host_.members_,
      aMessage.host_,
      aMessage.loads_,
      EarliestSendTime(host_.stallDetector_, absl::InfinitePast(), now));
  }
  cache_index::ApplyPeerReadCounts(host_.cacheIndex_, aMessage.reads_, now);
  const auto down = Uses(host_, mechanisms::Mechanism::DownReports)
                      ? aMessage.down_
                      : fleet::DownReports();
  for (const auto& id :
       fleet::ApplyDownReports(host_.members_, down, host_.random_(), now)) {
    host_.log_.Write(
      Line("target_aside")
        .Text("target", id)
        .Text("source", aMessage.host_)
        .Age("for_ms", host_.members_.at(id).quarantinedUntil_ - now));
    NoteTargetCold(
      host_, id, absl::InfiniteDuration(), ColdEvidence::Unreachable);
  }
  // Most messages have only loads and arrive while both timers are set.
  const bool hasObservations =
    !aMessage.reads_.empty() || !aMessage.down_.empty();
  if ((!hasObservations && localSendPending_ && remoteSendPending_) ||
      (!IsCollector() && !IsForwarder())) {
    return;
  }
  if (!IsCollector()) {
    // A forwarder: what its local peers observe returns from the collector.
    const bool isFromAbove =
      relays::CollectorOf(host_.hosts_,
                          host_.settings_.dataCentre_,
                          host_.settings_.name_) == aMessage.host_;
    Add(isFromAbove ? localObservations_ : remoteObservations_,
        aMessage.reads_,
        aMessage.down_);
    ScheduleSend();
    return;
  }
  Add(localObservations_, aMessage.reads_, aMessage.down_);
  if (const auto sender = host_.hosts_.find(aMessage.host_);
      sender != host_.hosts_.end() &&
      sender->second.entry_.dataCentre_ == host_.settings_.dataCentre_) {
    Add(remoteObservations_, aMessage.reads_, aMessage.down_);
  }
  ScheduleSend();
}

void
Gossip::Add(Observations& aSum,
            const cache_index::ReadCounts& aReads,
            const fleet::DownReports& aDown)
{
  cache_index::MergeReadCounts(aSum.reads_, aReads);
  for (const auto& [target, reports] : aDown) {
    aSum.down_[target] += reports;
  }
}

void
Gossip::CollectObservations()
{
  if (!IsForwarder()) {
    // A forwarder's own observations return from the collector as well.
    Add(localObservations_, host_.readCounts_, host_.downReports_);
  }
  Add(remoteObservations_, host_.readCounts_, host_.downReports_);
  host_.readCounts_.clear();
  host_.downReports_.clear();
}

std::vector<std::string>
Gossip::LocalPeers() const
{
  if (relays::IsLargeDeployment(host_.hosts_)) {
    return relays::CollectedBy(
      host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_);
  }
  std::vector<std::string> names;
  for (const auto& [name, host] : host_.hosts_) {
    if (host.entry_.dataCentre_ == host_.settings_.dataCentre_ &&
        name != host_.settings_.name_) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
Gossip::OtherCollectors() const
{
  std::vector<std::string> names;
  for (const auto& dataCentre : relays::DataCentres(host_.hosts_)) {
    const auto relays = relays::RelaysOf(host_.hosts_, dataCentre);
    if (!relays.empty() && relays.front() != host_.settings_.name_) {
      names.push_back(relays.front());
    }
  }
  return names;
}

bool
Gossip::IsCollector() const
{
  if (!relays::IsLargeDeployment(host_.hosts_)) {
    return false;
  }
  const auto relays =
    relays::RelaysOf(host_.hosts_, host_.settings_.dataCentre_);
  return !relays.empty() && relays.front() == host_.settings_.name_;
}

bool
Gossip::IsForwarder() const
{
  return relays::IsLargeDeployment(host_.hosts_) &&
         relays::IsForwarder(host_.hosts_, host_.settings_.name_);
}

GossipRole
Gossip::Role() const
{
  if (!relays::IsLargeDeployment(host_.hosts_)) {
    return GossipRole::Equal;
  }
  if (IsCollector()) {
    return GossipRole::Collector;
  }
  return IsForwarder() ? GossipRole::Forwarder : GossipRole::Sender;
}

void
Gossip::ScheduleSend()
{
  // Runs several times per request; both timers are usually set already.
  if (localSendPending_ && remoteSendPending_) {
    return;
  }
  const auto role = Role();
  const bool isSender = role == GossipRole::Sender;
  if (localSendPending_ && isSender) {
    return;
  }
  const auto peers = isSender ? 0 : LocalPeers().size();
  const auto times =
    BatchTimesOf(role, peers, localBytes_, host_.hosts_.size());
  if (!std::exchange(localSendPending_, true)) {
    localTimer_.Set(times.local_, [this] { SendLocal(); });
  }
  if (!isSender && !std::exchange(remoteSendPending_, true)) {
    remoteTimer_.Set(times.remote_, [this] { SendRemote(); });
  }
}

void
Gossip::SendLocal()
{
  localSendPending_ = false;
  CollectObservations();
  const auto observations = std::exchange(localObservations_, {});
  const auto now = Now();
  const auto peers = LocalPeers();
  if (!relays::IsLargeDeployment(host_.hosts_)) {
    for (const auto& peer : peers) {
      localBytes_ =
        Send(peer, fleet::SumLoads(host_.members_, {}, now), observations);
    }
    localBytes_ +=
      SendReports(peers, { {}, true, {}, false }, OwnDemand(), localReports_);
    return;
  }
  auto senders = peers;
  const bool collects = IsCollector();
  if (collects) {
    for (auto& other : OtherCollectors()) {
      senders.push_back(std::move(other));
    }
  } else {
    collector_ = relays::CollectorOf(
      host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_);
    if (!IsForwarder()) {
      // The collector sends this host's observations to the other data centres.
      remoteObservations_ = {};
      Send(collector_, fleet::SumLoads(host_.members_, {}, now), observations);
      SendReports(
        { collector_ }, { {}, true, {}, false }, OwnDemand(), localReports_);
      return;
    }
    senders.push_back(collector_);
  }
  // Each host gets the loads of all other hosts.
  for (const auto& peer : peers) {
    auto others = senders;
    others.erase(std::find(others.begin(), others.end(), peer));
    localBytes_ =
      Send(peer, fleet::SumLoads(host_.members_, others, now), observations);
  }
  // Only the collector knows the demand of the whole data centre.
  localBytes_ +=
    SendReports(peers,
                {},
                collects ? TotalDemands(false)
                         : spillover::ReceivedTotals(host_.demands_, now),
                localReports_);
}

void
Gossip::SendRemote()
{
  remoteSendPending_ = false;
  CollectObservations();
  const auto observations = std::exchange(remoteObservations_, {});
  const auto now = Now();
  if (relays::IsLargeDeployment(host_.hosts_)) {
    const auto loads = fleet::SumLoads(host_.members_, LocalPeers(), now);
    if (!IsCollector()) {
      collector_ = relays::CollectorOf(
        host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_);
      Send(collector_, loads, observations);
      // Without what came from the collector.
      SendReports({ collector_ },
                  { {}, true, {}, false, true },
                  CollectedDemands(),
                  remoteReports_);
      return;
    }
    for (const auto& collector : OtherCollectors()) {
      Send(collector, loads, observations);
    }
    // The other collectors know more of the targets near them.
    SendReports(OtherCollectors(),
                { {}, false, {}, true },
                TotalDemands(true),
                remoteReports_);
    return;
  }
  const auto loads = fleet::SumLoads(host_.members_, {}, now);
  std::vector<std::string> others;
  for (const auto& [name, host] : host_.hosts_) {
    if (host.entry_.dataCentre_ != host_.settings_.dataCentre_) {
      Send(name, loads, observations);
      others.push_back(name);
    }
  }
  SendReports(others, { {}, true, {}, false }, OwnDemand(), remoteReports_);
}

std::vector<spillover::DemandRow>
Gossip::OwnDemand() const
{
  const auto own = host_.demands_.find(host_.settings_.name_);
  return own == host_.demands_.end() ? std::vector<spillover::DemandRow>()
                                     : own->second.rows_;
}

std::vector<spillover::DemandRow>
Gossip::TotalDemands(bool aIsOwnOnly) const
{
  auto rows = spillover::TotalRows(host_.demands_, Now());
  const auto own = spillover::NameHash(host_.settings_.dataCentre_);
  rows.erase(std::remove_if(rows.begin(),
                            rows.end(),
                            [&](const auto& aRow) {
                              return aIsOwnOnly && aRow.dataCentre_ != own;
                            }),
             rows.end());
  return rows;
}

std::vector<spillover::DemandRow>
Gossip::CollectedDemands() const
{
  auto hosts = LocalPeers();
  hosts.push_back(host_.settings_.name_);
  return spillover::SumParts(host_.demands_, hosts, Now());
}

std::size_t
Gossip::SendReports(const std::vector<std::string>& aHosts,
                    fleet::ReportedLoadQuery aQuery,
                    std::vector<spillover::DemandRow> aDemands,
                    ReportTimes& aTimes)
{
  if (!Uses(host_, mechanisms::Mechanism::LoadReports)) {
    return 0;
  }
  const auto now = Now();
  aQuery.since_ = std::exchange(aTimes.loadsAt_, now);
  aQuery.dataCentre_ = host_.settings_.dataCentre_;
  auto loads = fleet::NewestReportedLoads(host_.members_, aQuery, now);
  if (now - aTimes.demandsAt_ < kDemandPeriod) {
    aDemands.clear();
  } else {
    aTimes.demandsAt_ = now;
  }
  if (loads.empty() && aDemands.empty()) {
    return 0;
  }
  const auto text = WriteReports(
    { host_.settings_.name_, std::move(aDemands), std::move(loads) });
  for (const auto& host : aHosts) {
    SendText(host, text);
  }
  return text.size();
}

std::size_t
Gossip::Send(const std::string& aHost,
             std::vector<fleet::PeerLoad> aLoads,
             const Observations& aObservations)
{
  const auto text = WriteMessage({ host_.settings_.name_,
                                   std::move(aLoads),
                                   aObservations.reads_,
                                   aObservations.down_ });
  SendText(aHost, text);
  return text.size();
}

void
Gossip::SendText(const std::string& aHost, const std::string& aText)
{
  const auto found = host_.hosts_.find(aHost);
  if (found == host_.hosts_.end()) {
    return;
  }
  const auto to = ParseEndpoint(found->second.entry_.peerAddress_).address();
  boost::system::error_code error;
  socket_.send_to(
    boost::asio::buffer(aText), { to, host_.settings_.gossipPort_ }, 0, error);
  if (error) {
    host_.metrics_.Count("load_messages_unsent_total");
  }
}

} // namespace lycheeplank::gateway
