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
// Pause for each host that is told. Beyond a few hosts it grows with their
// number once more, so that neither sending nor reading messages grows with it.
constexpr absl::Duration kPausePerHost = absl::Milliseconds(5);
constexpr double kFewHosts = 8.0;
// Tokens are told in units of this.
constexpr std::uint64_t kTokenUnit = 64;
constexpr std::uint64_t kMostUnits = UINT16_MAX;
// Bytes of one row: short name, calls, urgent, other and held tokens.
constexpr std::size_t kRowBytes = 11;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint64_t kByteMask = 0xff;

absl::Duration
PauseFor(absl::Duration aLeast, std::size_t aPeers)
{
  const auto peers = static_cast<double>(aPeers);
  return std::max(aLeast,
                  kPausePerHost * peers * std::max(1.0, peers / kFewHosts));
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
WriteLoads(absl::string_view aHost, const std::vector<fleet::PeerLoad>& aLoads)
{
  std::string text;
  AppendNumber(text, aHost.size(), 1);
  text.append(aHost.data(), aHost.size());
  for (const auto& load : aLoads) {
    AppendNumber(text, load.target_, 4);
    AppendNumber(text, std::min<std::uint64_t>(load.inFlight_, kByteMask), 1);
    AppendNumber(text, Units(load.urgentTokens_), 2);
    AppendNumber(text, Units(load.otherTokens_), 2);
    AppendNumber(text, Units(load.heldTokens_), 2);
  }
  return text;
}

std::string
ReadLoads(absl::string_view aText, std::vector<fleet::PeerLoad>& aLoads)
{
  if (aText.empty()) {
    return {};
  }
  const auto size = TakeNumber(aText, 1);
  if (size == 0 || aText.size() < size ||
      (aText.size() - size) % kRowBytes != 0) {
    return {};
  }
  std::string host(aText.substr(0, size));
  aText.remove_prefix(size);
  while (!aText.empty()) {
    fleet::PeerLoad load;
    load.target_ = static_cast<std::uint32_t>(TakeNumber(aText, 4));
    load.inFlight_ = static_cast<std::uint32_t>(TakeNumber(aText, 1));
    load.urgentTokens_ = kTokenUnit * TakeNumber(aText, 2);
    load.otherTokens_ = kTokenUnit * TakeNumber(aText, 2);
    load.heldTokens_ = kTokenUnit * TakeNumber(aText, 2);
    aLoads.push_back(load);
  }
  return host;
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
      std::vector<fleet::PeerLoad> loads;
      const auto host =
        aError ? std::string() : ReadLoads({ buffer_.data(), aSize }, loads);
      if (!host.empty() && host != host_.settings_.name_) {
        fleet::TakePeerLoads(host_.members_, host, loads, Now());
      }
      Receive();
    });
}

void
Gossip::Changed()
{
  std::size_t near = 0;
  for (const auto& [name, host] : host_.hosts_) {
    near += host.entry_.dataCentre_ == host_.settings_.dataCentre_ ? 1 : 0;
  }
  if (!std::exchange(nearPending_, true)) {
    nearTimer_.Set(PauseFor(kGatherTime, near), [this] { Send(true); });
  }
  if (!std::exchange(farPending_, true)) {
    farTimer_.Set(PauseFor(kFarGatherTime, host_.hosts_.size() - near),
                  [this] { Send(false); });
  }
}

std::vector<fleet::PeerLoad>
Gossip::Loads() const
{
  std::vector<fleet::PeerLoad> loads;
  for (const auto& [id, member] : host_.members_) {
    if (member.inFlight_ > 0) {
      loads.push_back({ member.shortName_,
                        member.inFlight_,
                        member.urgentTokens_,
                        member.otherTokens_,
                        member.heldTokens_ });
    }
  }
  return loads;
}

void
Gossip::Send(bool aNear)
{
  (aNear ? nearPending_ : farPending_) = false;
  const auto text = WriteLoads(host_.settings_.name_, Loads());
  for (const auto& [name, host] : host_.hosts_) {
    const bool near = host.entry_.dataCentre_ == host_.settings_.dataCentre_;
    if (name == host_.settings_.name_ || near != aNear) {
      continue;
    }
    const auto to = ParseEndpoint(host.entry_.peerAddress_);
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(text),
                    { to.address(), host_.settings_.gossipPort_ },
                    0,
                    error);
    if (error) {
      host_.metrics_.Count("load_messages_unsent_total");
    }
  }
}

} // namespace lycheeplank::gateway
