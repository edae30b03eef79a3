#include "gateway/gossip.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "gateway/clock.h"
#include "gateway/permits.h"
#include "gateway/poison-blocks.h"

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
  const auto message = ReadMessage(aText);
  if (message.host_.empty()) {
    ReceiveLimitMessage(host_, aText);
  } else {
    OnMessage(message);
  }
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

void
Gossip::ScheduleSend()
{
  // Runs several times per request; both timers are usually set already.
  if (localSendPending_ && remoteSendPending_) {
    return;
  }
  const bool isLarge = relays::IsLargeDeployment(host_.hosts_);
  const bool collects = isLarge && IsCollector();
  const bool forwards = isLarge && !collects && IsForwarder();
  if (!std::exchange(localSendPending_, true)) {
    localTimer_.Set(isLarge && !collects && !forwards
                      ? kToCollectorBatchTime
                      : LocalBatchTime(LocalPeers().size(), localBytes_),
                    [this] { SendLocal(); });
  }
  if ((collects || forwards || !isLarge) &&
      !std::exchange(remoteSendPending_, true)) {
    remoteTimer_.Set(forwards ? kToCollectorBatchTime
                     : isLarge
                       ? kCollectorRemoteBatchTime
                       : BatchTimeFor(kRemoteBatchTime, host_.hosts_.size()),
                     [this] { SendRemote(); });
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
      Send(peer, fleet::SumLoads(host_.members_, {}, now), observations);
    }
    return;
  }
  auto senders = peers;
  if (IsCollector()) {
    for (auto& other : OtherCollectors()) {
      senders.push_back(std::move(other));
    }
  } else {
    const auto collector = relays::CollectorOf(
      host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_);
    if (!IsForwarder()) {
      // The collector sends this host's observations to the other data centres.
      remoteObservations_ = {};
      Send(collector, fleet::SumLoads(host_.members_, {}, now), observations);
      return;
    }
    senders.push_back(collector);
  }
  // Each host gets the loads of all other hosts.
  for (const auto& peer : peers) {
    auto others = senders;
    others.erase(std::find(others.begin(), others.end(), peer));
    localBytes_ =
      Send(peer, fleet::SumLoads(host_.members_, others, now), observations);
  }
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
      Send(relays::CollectorOf(
             host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_),
           loads,
           observations);
      return;
    }
    for (const auto& collector : OtherCollectors()) {
      Send(collector, loads, observations);
    }
    return;
  }
  const auto loads = fleet::SumLoads(host_.members_, {}, now);
  for (const auto& [name, host] : host_.hosts_) {
    if (host.entry_.dataCentre_ != host_.settings_.dataCentre_) {
      Send(name, loads, observations);
    }
  }
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
