#ifndef LYCHEEPLANK_ENTRY_HOSTS_H
#define LYCHEEPLANK_ENTRY_HOSTS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// The live entry hosts, and the choice of the addresses that callers receive.
namespace lycheeplank::entry_hosts {

// A host as described by its own entry.
struct HostEntry
{
  std::string name_;
  std::string dataCentre_;
  std::string callerAddress_;
  std::string peerAddress_;
  // Number of processor cores that the host may use.
  double cores_ = 1.0;
  bool leaving_ = false;
  // The host can forward changes and loads to others, see relays::ForwardersOf;
  // hosts of an earlier release can't.
  bool canForward_ = true;
};

struct HostState
{
  HostEntry entry_;
  // Set when the host's entry disappears; the host is removed at this time
  // unless its entry returns.
  absl::Time expiresAt_ = absl::InfiniteFuture();
};

using Hosts = absl::btree_map<std::string, HostState>;

// WriteHost returns an entry as JSON; ReadHost parses it and returns nothing if
// it is not valid.
std::string
WriteHost(const HostEntry& aEntry);
absl::optional<HostEntry>
ReadHost(absl::string_view aText);

// Minimum number of addresses that callers receive, so that they have another
// host after the loss of one; hosts of other data centres complete the list.
inline constexpr std::size_t kMinAddresses = 2;
// Maximum number of addresses in a list.
inline constexpr std::size_t kMaxAddresses = 64;

// Returns the addresses for callers of a data centre: its ready hosts,
// completed from other data centres. Without any ready host it returns leaving
// hosts.
std::vector<std::string>
PickAddresses(const Hosts& aHosts,
              absl::string_view aDataCentre,
              std::uint64_t aSeed);

// Removes expired hosts.
void
RemoveExpiredHosts(Hosts& aHosts, absl::Time aNow);

} // namespace lycheeplank::entry_hosts

#endif
