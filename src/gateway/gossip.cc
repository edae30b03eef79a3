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
// Pause for each host that is told, so that messages don't grow with hosts.
constexpr absl::Duration kPausePerHost = absl::Milliseconds(5);
// Hosts of a large data centre tell their loads to one of them, which tells
// all of them and the other data centres.
constexpr absl::Duration kCollectTime = absl::Milliseconds(50);
// Tokens are told in units of this.
constexpr std::uint64_t kTokenUnit = 64;
constexpr std::uint64_t kMostUnits = UINT16_MAX;
// Bytes of the number of loads; of one of them: short name, calls, urgent,
// other and held tokens; of the reads from one store: short name, all, late
// ones.
constexpr std::size_t kCountBytes = 2;
constexpr std::size_t kLoadBytes = 11;
constexpr std::size_t kReadBytes = 8;
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
  AppendNumber(text, aMessage.loads_.size(), 2);
  for (const auto& load : aMessage.loads_) {
    AppendNumber(text, load.target_, 4);
    AppendNumber(text, std::min<std::uint64_t>(load.inFlight_, kByteMask), 1);
    AppendNumber(text, Units(load.urgentTokens_), 2);
    AppendNumber(text, Units(load.otherTokens_), 2);
    AppendNumber(text, Units(load.heldTokens_), 2);
  }
  for (const auto& [store, count] : aMessage.reads_) {
    AppendNumber(text, store, 4);
    AppendNumber(text, std::min(kMostUnits, std::uint64_t{ count.reads_ }), 2);
    AppendNumber(text, std::min(kMostUnits, std::uint64_t{ count.late_ }), 2);
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
  if (size == 0 || aText.size() < size + kCountBytes) {
    return {};
  }
  LoadMessage message;
  message.host_ = std::string(aText.substr(0, size));
  aText.remove_prefix(size);
  const auto count = TakeNumber(aText, kCountBytes);
  if (aText.size() < count * kLoadBytes ||
      (aText.size() - count * kLoadBytes) % kReadBytes != 0) {
    return {};
  }
  for (std::uint64_t i = 0; i < count; ++i) {
    fleet::PeerLoad load;
    load.target_ = static_cast<std::uint32_t>(TakeNumber(aText, 4));
    load.inFlight_ = static_cast<std::uint32_t>(TakeNumber(aText, 1));
    load.urgentTokens_ = kTokenUnit * TakeNumber(aText, 2);
    load.otherTokens_ = kTokenUnit * TakeNumber(aText, 2);
    load.heldTokens_ = kTokenUnit * TakeNumber(aText, 2);
    message.loads_.push_back(load);
  }
  while (!aText.empty()) {
    const auto store = static_cast<std::uint32_t>(TakeNumber(aText, 4));
    auto& reads = message.reads_[store];
    reads.reads_ = static_cast<std::uint32_t>(TakeNumber(aText, 2));
    reads.late_ = static_cast<std::uint32_t>(TakeNumber(aText, 2));
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
  fleet::TakePeerLoads(host_.members_, aMessage.host_, aMessage.loads_, now);
  kept::TakeCounts(host_.kept_, aMessage.reads_, now);
  if (!IsCollector()) {
    return;
  }
  kept::AddCounts(nearReads_, aMessage.reads_);
  if (const auto sender = host_.hosts_.find(aMessage.host_);
      sender != host_.hosts_.end() &&
      sender->second.entry_.dataCentre_ == host_.settings_.dataCentre_) {
    kept::AddCounts(farReads_, aMessage.reads_);
  }
  Changed();
}

void
Gossip::GatherReads()
{
  kept::AddCounts(nearReads_, host_.readCounts_);
  kept::AddCounts(farReads_, host_.readCounts_);
  host_.readCounts_.clear();
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
    const auto others = isLarge ? Collectors().size() : host_.hosts_.size();
    farTimer_.Set(PauseFor(kFarGatherTime, others), [this] { SendFar(); });
  }
}

void
Gossip::SendNear()
{
  nearPending_ = false;
  GatherReads();
  const auto reads = std::exchange(nearReads_, {});
  const auto now = Now();
  const auto mates = Mates();
  if (!relays::IsLarge(host_.hosts_)) {
    for (const auto& mate : mates) {
      Send(mate, fleet::LoadsOf(host_.members_, {}, now), reads);
    }
    return;
  }
  if (!IsCollector()) {
    // The collector tells the other data centres.
    farReads_.clear();
    const auto relays =
      relays::RelaysOf(host_.hosts_, host_.settings_.dataCentre_);
    if (!relays.empty()) {
      Send(relays.front(), fleet::LoadsOf(host_.members_, {}, now), reads);
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
    Send(mate, fleet::LoadsOf(host_.members_, others, now), reads);
  }
}

void
Gossip::SendFar()
{
  farPending_ = false;
  GatherReads();
  const auto reads = std::exchange(farReads_, {});
  const auto now = Now();
  if (relays::IsLarge(host_.hosts_)) {
    const auto loads = fleet::LoadsOf(host_.members_, Mates(), now);
    for (const auto& collector : Collectors()) {
      Send(collector, loads, reads);
    }
    return;
  }
  const auto loads = fleet::LoadsOf(host_.members_, {}, now);
  for (const auto& [name, host] : host_.hosts_) {
    if (host.entry_.dataCentre_ != host_.settings_.dataCentre_) {
      Send(name, loads, reads);
    }
  }
}

void
Gossip::Send(const std::string& aHost,
             std::vector<fleet::PeerLoad> aLoads,
             const kept::ReadCounts& aReads)
{
  const auto text =
    WriteMessage({ host_.settings_.name_, std::move(aLoads), aReads });
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
