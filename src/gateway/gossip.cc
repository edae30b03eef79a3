#include "gateway/gossip.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

using Udp = boost::asio::ip::udp;

// Changes within this time are told together; a prompt is read for tens to
// hundreds of milliseconds.
constexpr absl::Duration kGatherTime = absl::Milliseconds(10);
// The same for hosts in other data centres, to which bytes are dear.
constexpr absl::Duration kFarGatherTime = absl::Milliseconds(100);
// The same for the sum of a large data centre, which changes less by a request.
constexpr absl::Duration kFarCollectTime = absl::Milliseconds(250);
// Pause for each host that is told, so that messages don't grow with hosts.
constexpr absl::Duration kPausePerHost = absl::Milliseconds(5);
// Hosts of a large data centre tell their loads to one of them, which tells
// all of them and the other data centres.
constexpr absl::Duration kCollectTime = absl::Milliseconds(50);
// Tokens are told in units of this.
constexpr std::uint64_t kTokenUnit = 64;
constexpr std::uint64_t kMostUnits = UINT16_MAX;
// Bytes of a number of rows; of a load: short name, calls, urgent, other and
// held tokens; of the reads from one store: short name, all, late ones; of a
// target that couldn't be reached: short name, reports.
constexpr std::size_t kCountBytes = 2;
constexpr std::size_t kLoadBytes = 11;
constexpr std::size_t kReadBytes = 8;
constexpr std::size_t kDownBytes = 5;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint64_t kByteMask = 0xff;

absl::Duration
PauseFor(absl::Duration aLeast, std::size_t aPeers)
{
  return std::max(aLeast, kPausePerHost * static_cast<double>(aPeers));
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
TakeNumber(absl::string_view& aText, std::size_t aBytes)
{
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < aBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aText[i]);
    number |= std::uint64_t{ byte } << (kBitsPerByte * i);
  }
  aText.remove_prefix(aBytes);
  return number;
}

// Takes a number of rows; nothing if the text is too short for them.
absl::optional<std::uint64_t>
TakeCount(absl::string_view& aText, std::size_t aRowBytes)
{
  if (aText.size() < kCountBytes) {
    return absl::nullopt;
  }
  const auto count = TakeNumber(aText, kCountBytes);
  return aText.size() < count * aRowBytes ? absl::nullopt
                                          : absl::make_optional(count);
}

std::uint64_t
Units(std::uint64_t aTokens)
{
  return std::min(kMostUnits, (aTokens + kTokenUnit - 1) / kTokenUnit);
}

} // namespace

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
    AppendNumber(text, Units(load.urgentTokens_), 2);
    AppendNumber(text, Units(load.otherTokens_), 2);
    AppendNumber(text, Units(load.heldTokens_), 2);
  }
  AppendNumber(text, aMessage.reads_.size(), kCountBytes);
  for (const auto& [store, count] : aMessage.reads_) {
    AppendNumber(text, store, 4);
    AppendNumber(text, std::min(kMostUnits, std::uint64_t{ count.reads_ }), 2);
    AppendNumber(text, std::min(kMostUnits, std::uint64_t{ count.late_ }), 2);
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
  const auto size = TakeNumber(aText, 1);
  if (size == 0 || aText.size() < size) {
    return {};
  }
  LoadMessage message;
  message.host_ = std::string(aText.substr(0, size));
  aText.remove_prefix(size);
  const auto loads = TakeCount(aText, kLoadBytes);
  if (!loads) {
    return {};
  }
  for (std::uint64_t i = 0; i < *loads; ++i) {
    fleet::PeerLoad load;
    load.target_ = static_cast<std::uint32_t>(TakeNumber(aText, 4));
    load.inFlight_ = static_cast<std::uint32_t>(TakeNumber(aText, 1));
    load.urgentTokens_ = kTokenUnit * TakeNumber(aText, 2);
    load.otherTokens_ = kTokenUnit * TakeNumber(aText, 2);
    load.heldTokens_ = kTokenUnit * TakeNumber(aText, 2);
    message.loads_.push_back(load);
  }
  const auto reads = TakeCount(aText, kReadBytes);
  if (!reads || (aText.size() - *reads * kReadBytes) % kDownBytes != 0) {
    return {};
  }
  for (std::uint64_t i = 0; i < *reads; ++i) {
    const auto store = static_cast<std::uint32_t>(TakeNumber(aText, 4));
    auto& count = message.reads_[store];
    count.reads_ = static_cast<std::uint32_t>(TakeNumber(aText, 2));
    count.late_ = static_cast<std::uint32_t>(TakeNumber(aText, 2));
  }
  while (!aText.empty()) {
    const auto target = static_cast<std::uint32_t>(TakeNumber(aText, 4));
    message.down_[target] = static_cast<std::uint32_t>(TakeNumber(aText, 1));
  }
  return message;
}

Gossip::Gossip(Host& aHost, const std::string& aAddress)
  : host_(aHost)
  , socket_(aHost.loop_)
  , nearTimer_(aHost.loop_)
  , farTimer_(aHost.loop_)
{
  const auto address = ParseEndpoint(aAddress);
  socket_.open(Udp::v4());
  socket_.bind({ address.address(), address.port() });
  socket_.non_blocking(true);
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
        Take(ReadMessage({ buffer_.data(), aSize }));
      }
      Receive();
    });
}

void
Gossip::Take(const LoadMessage& aMessage)
{
  if (aMessage.host_.empty() || aMessage.host_ == host_.settings_.name_) {
    return;
  }
  const auto now = Now();
  if (Uses(host_, mechanisms::Mechanism::LoadReports)) {
    fleet::SetPeerLoads(host_.members_,
                        aMessage.host_,
                        aMessage.loads_,
                        HeardSince(host_.pulse_, absl::InfinitePast(), now));
  }
  cache_index::ApplyPeerReadCounts(host_.kept_, aMessage.reads_, now);
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
  // Mostly a message has loads alone, and both timers are set already.
  const bool hasExperience =
    !aMessage.reads_.empty() || !aMessage.down_.empty();
  if ((!hasExperience && nearPending_ && farPending_) || !IsCollector()) {
    return;
  }
  Add(near_, aMessage.reads_, aMessage.down_);
  if (const auto sender = host_.hosts_.find(aMessage.host_);
      sender != host_.hosts_.end() &&
      sender->second.entry_.dataCentre_ == host_.settings_.dataCentre_) {
    Add(far_, aMessage.reads_, aMessage.down_);
  }
  Changed();
}

void
Gossip::Add(Experience& aSum,
            const cache_index::ReadCounts& aReads,
            const fleet::DownReports& aDown)
{
  cache_index::MergeReadCounts(aSum.reads_, aReads);
  for (const auto& [target, reports] : aDown) {
    aSum.down_[target] += reports;
  }
}

void
Gossip::Gather()
{
  Add(near_, host_.readCounts_, host_.downReports_);
  Add(far_, host_.readCounts_, host_.downReports_);
  host_.readCounts_.clear();
  host_.downReports_.clear();
}

std::vector<std::string>
Gossip::Mates() const
{
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
Gossip::Collectors() const
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
  if (!relays::IsLarge(host_.hosts_)) {
    return false;
  }
  const auto relays =
    relays::RelaysOf(host_.hosts_, host_.settings_.dataCentre_);
  return !relays.empty() && relays.front() == host_.settings_.name_;
}

void
Gossip::Changed()
{
  // Runs several times a request; mostly both are set already.
  if (nearPending_ && farPending_) {
    return;
  }
  const bool isLarge = relays::IsLarge(host_.hosts_);
  const bool collects = isLarge && IsCollector();
  if (!std::exchange(nearPending_, true)) {
    nearTimer_.Set(isLarge && !collects ? kCollectTime
                                        : PauseFor(kGatherTime, Mates().size()),
                   [this] { SendNear(); });
  }
  if ((collects || !isLarge) && !std::exchange(farPending_, true)) {
    farTimer_.Set(isLarge ? kFarCollectTime
                          : PauseFor(kFarGatherTime, host_.hosts_.size()),
                  [this] { SendFar(); });
  }
}

void
Gossip::SendNear()
{
  nearPending_ = false;
  Gather();
  const auto told = std::exchange(near_, {});
  const auto now = Now();
  const auto mates = Mates();
  if (!relays::IsLarge(host_.hosts_)) {
    for (const auto& mate : mates) {
      Send(mate, fleet::SumLoads(host_.members_, {}, now), told);
    }
    return;
  }
  if (!IsCollector()) {
    // The collector tells the other data centres.
    far_ = {};
    const auto relays =
      relays::RelaysOf(host_.hosts_, host_.settings_.dataCentre_);
    if (!relays.empty()) {
      Send(relays.front(), fleet::SumLoads(host_.members_, {}, now), told);
    }
    return;
  }
  // Each host is told what all others have under way.
  auto senders = mates;
  for (auto& other : Collectors()) {
    senders.push_back(std::move(other));
  }
  for (const auto& mate : mates) {
    auto others = senders;
    others.erase(std::find(others.begin(), others.end(), mate));
    Send(mate, fleet::SumLoads(host_.members_, others, now), told);
  }
}

void
Gossip::SendFar()
{
  farPending_ = false;
  Gather();
  const auto told = std::exchange(far_, {});
  const auto now = Now();
  if (relays::IsLarge(host_.hosts_)) {
    const auto loads = fleet::SumLoads(host_.members_, Mates(), now);
    for (const auto& collector : Collectors()) {
      Send(collector, loads, told);
    }
    return;
  }
  const auto loads = fleet::SumLoads(host_.members_, {}, now);
  for (const auto& [name, host] : host_.hosts_) {
    if (host.entry_.dataCentre_ != host_.settings_.dataCentre_) {
      Send(name, loads, told);
    }
  }
}

void
Gossip::Send(const std::string& aHost,
             std::vector<fleet::PeerLoad> aLoads,
             const Experience& aExperience)
{
  const auto text = WriteMessage({ host_.settings_.name_,
                                   std::move(aLoads),
                                   aExperience.reads_,
                                   aExperience.down_ });
  const auto to =
    ParseEndpoint(host_.hosts_.at(aHost).entry_.peerAddress_).address();
  boost::system::error_code error;
  socket_.send_to(
    boost::asio::buffer(text), { to, host_.settings_.gossipPort_ }, 0, error);
  if (error) {
    host_.metrics_.Count("load_messages_unsent_total");
  }
}

} // namespace lycheeplank::gateway
