#include "gateway/gossip.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <nlohmann/json.hpp>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

using Json = nlohmann::json;
using Udp = boost::asio::ip::udp;

// Changes within this time are told together; a prompt is read for tens to
// hundreds of milliseconds.
constexpr absl::Duration kGatherTime = absl::Milliseconds(10);
// Messages a second that one host sends at most; with many hosts in a data
// centre each is told less often.
constexpr double kMessagesPerSecond = 200.0;

absl::Duration
PauseFor(std::size_t aPeers)
{
  return std::max(
    kGatherTime,
    absl::Seconds(static_cast<double>(aPeers) / kMessagesPerSecond));
}

} // namespace

std::string
WriteLoads(absl::string_view aHost, const std::vector<OwnLoad>& aLoads)
{
  Json rows = Json::array();
  for (const auto& load : aLoads) {
    rows.push_back(
      Json::array({ load.target_, load.inFlight_, load.promptTokens_ }));
  }
  return Json{ { "host", std::string(aHost) }, { "loads", rows } }.dump();
}

std::string
ReadLoads(absl::string_view aText, std::vector<OwnLoad>& aLoads)
{
  const auto json = Json::parse(aText.begin(), aText.end(), nullptr, false);
  if (!json.is_object() || !json.contains("host") ||
      !json["host"].is_string() || !json.contains("loads") ||
      !json["loads"].is_array()) {
    return {};
  }
  for (const auto& row : json["loads"]) {
    if (row.is_array() && row.size() == 3 && row[0].is_string() &&
        row[1].is_number_unsigned() && row[2].is_number_unsigned()) {
      aLoads.push_back({ row[0].get<std::string>(),
                         row[1].get<std::uint32_t>(),
                         row[2].get<std::uint64_t>() });
    }
  }
  return json["host"].get<std::string>();
}

Gossip::Gossip(Host& aHost, const std::string& aAddress)
  : host_(aHost)
  , socket_(aHost.loop_)
  , timer_(aHost.loop_)
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
      std::vector<OwnLoad> loads;
      const auto host =
        aError ? std::string()
               : ReadLoads({ buffer_.data(), aSize }, loads);
      if (!host.empty() && host != host_.settings_.name_) {
        std::vector<fleet::PeerLoad> told;
        for (const auto& load : loads) {
          told.push_back({ load.target_, load.inFlight_, load.promptTokens_ });
        }
        fleet::TakePeerLoads(host_.members_, host, told, Now());
      }
      Receive();
    });
}

void
Gossip::Changed()
{
  if (std::exchange(pending_, true)) {
    return;
  }
  std::size_t peers = 0;
  for (const auto& [name, host] : host_.hosts_) {
    peers += host.entry_.dataCentre_ == host_.settings_.dataCentre_ ? 1 : 0;
  }
  timer_.Set(PauseFor(peers), [this] { Send(); });
}

std::vector<OwnLoad>
Gossip::Loads() const
{
  std::vector<OwnLoad> loads;
  for (const auto& [id, member] : host_.members_) {
    if (member.inFlight_ > 0) {
      loads.push_back({ id, member.inFlight_, member.promptTokens_ });
    }
  }
  return loads;
}

void
Gossip::Send()
{
  pending_ = false;
  const auto text = WriteLoads(host_.settings_.name_, Loads());
  for (const auto& [name, host] : host_.hosts_) {
    if (name == host_.settings_.name_ ||
        host.entry_.dataCentre_ != host_.settings_.dataCentre_) {
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
