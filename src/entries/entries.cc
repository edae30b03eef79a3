#include "lycheeplank/entries.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "lycheeplank/core.h"

namespace lycheeplank::entries {

namespace {

// The addresses of ready or of leaving hosts, in or out of a data centre.
std::vector<std::string>
AddressesOf(const Hosts& aHosts,
            absl::string_view aDataCentre,
            bool aInside,
            bool aLeaving)
{
  std::vector<std::string> addresses;
  for (const auto& [name, host] : aHosts) {
    if (host.entry_.leaving_ == aLeaving &&
        (host.entry_.dataCentre_ == aDataCentre) == aInside) {
      addresses.push_back(host.entry_.callerAddress_);
    }
  }
  return addresses;
}

} // namespace

std::string
WriteHost(const HostEntry& aEntry)
{
  return nlohmann::json{
    { "name", aEntry.name_ },
    { "data_centre", aEntry.dataCentre_ },
    { "caller_address", aEntry.callerAddress_ },
    { "peer_address", aEntry.peerAddress_ },
    { "leaving", aEntry.leaving_ }
  }.dump();
}

absl::optional<HostEntry>
ReadHost(absl::string_view aText)
{
  const auto json =
    nlohmann::json::parse(aText.begin(), aText.end(), nullptr, false);
  if (!json.is_object()) {
    return absl::nullopt;
  }
  const auto text = [&json](const char* aName) {
    const auto found = json.find(aName);
    return found != json.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  };
  HostEntry entry;
  entry.name_ = text("name");
  entry.dataCentre_ = text("data_centre");
  entry.callerAddress_ = text("caller_address");
  entry.peerAddress_ = text("peer_address");
  const auto leaving = json.find("leaving");
  entry.leaving_ =
    leaving != json.end() && leaving->is_boolean() && leaving->get<bool>();
  if (entry.name_.empty() || entry.callerAddress_.empty() ||
      entry.peerAddress_.empty()) {
    return absl::nullopt;
  }
  return entry;
}

std::vector<std::string>
PickAddresses(const Hosts& aHosts,
              absl::string_view aDataCentre,
              std::uint64_t aSeed)
{
  std::vector<std::string> picked;
  for (const bool leaving : { false, true }) {
    if (!picked.empty()) {
      break;
    }
    picked = AddressesOf(aHosts, aDataCentre, true, leaving);
    auto others = AddressesOf(aHosts, aDataCentre, false, leaving);
    // Each caller gets others, so that no host elsewhere takes all of them.
    std::sort(others.begin(),
              others.end(),
              [aSeed](const auto& aLeft, const auto& aRight) {
                return core::StableHash(aLeft, aSeed) <
                       core::StableHash(aRight, aSeed);
              });
    for (auto& address : others) {
      if (picked.size() >= kLeastAddresses) {
        break;
      }
      picked.push_back(std::move(address));
    }
  }
  if (picked.size() > kMostAddresses) {
    std::rotate(picked.begin(),
                picked.begin() +
                  static_cast<std::ptrdiff_t>(aSeed % picked.size()),
                picked.end());
    picked.resize(kMostAddresses);
  }
  return picked;
}

void
SweepHosts(Hosts& aHosts, absl::Time aNow)
{
  for (auto at = aHosts.begin(); at != aHosts.end();) {
    at = at->second.vanishesAt_ <= aNow ? aHosts.erase(at) : std::next(at);
  }
}

} // namespace lycheeplank::entries
