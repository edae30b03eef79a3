#include "lycheeplank/entry_hosts.h"

#include <algorithm>
#include <utility>

#include "core/json.h"
#include "lycheeplank/core.h"

namespace lycheeplank::entry_hosts {

namespace {

// Returns the addresses of ready or leaving hosts, inside or outside a data
// centre.
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
  return json::Json{
    { "name", aEntry.name_ },
    { "data_centre", aEntry.dataCentre_ },
    { "caller_address", aEntry.callerAddress_ },
    { "peer_address", aEntry.peerAddress_ },
    { "cores", aEntry.cores_ },
    { "leaving", aEntry.leaving_ },
    { "can_forward", aEntry.canForward_ }
  }.dump();
}

absl::optional<HostEntry>
ReadHost(absl::string_view aText)
{
  const auto parsed = json::ParseJson(aText);
  HostEntry entry;
  entry.name_ = json::TextOf(parsed, "name");
  entry.dataCentre_ = json::TextOf(parsed, "data_centre");
  entry.callerAddress_ = json::TextOf(parsed, "caller_address");
  entry.peerAddress_ = json::TextOf(parsed, "peer_address");
  entry.leaving_ = json::FlagOf(parsed, "leaving");
  entry.canForward_ = json::FlagOf(parsed, "can_forward");
  entry.cores_ = json::NumberOf(parsed, "cores", entry.cores_);
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
    // Each seed gives another order, so that no single host elsewhere receives
    // all callers.
    std::sort(others.begin(),
              others.end(),
              [aSeed](const auto& aLeft, const auto& aRight) {
                return core::StableHash(aLeft, aSeed) <
                       core::StableHash(aRight, aSeed);
              });
    for (auto& address : others) {
      if (picked.size() >= kMinAddresses) {
        break;
      }
      picked.push_back(std::move(address));
    }
  }
  if (picked.size() > kMaxAddresses) {
    std::rotate(picked.begin(),
                picked.begin() +
                  static_cast<std::ptrdiff_t>(aSeed % picked.size()),
                picked.end());
    picked.resize(kMaxAddresses);
  }
  return picked;
}

void
RemoveExpiredHosts(Hosts& aHosts, absl::Time aNow)
{
  for (auto at = aHosts.begin(); at != aHosts.end();) {
    at = at->second.expiresAt_ <= aNow ? aHosts.erase(at) : std::next(at);
  }
}

} // namespace lycheeplank::entry_hosts
