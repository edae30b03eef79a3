#ifndef LYCHEEPLANK_ENTRY_HOSTS_H
#define LYCHEEPLANK_ENTRY_HOSTS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// The hosts that live, and which of their addresses callers are told to use.
namespace lycheeplank::entry_hosts {

// A host as it describes itself.
struct HostEntry
{
  std::string name_;
  std::string dataCentre_;
  std::string callerAddress_;
  std::string peerAddress_;
  // Processor share that the host may use, in cores.
  double cores_ = 1.0;
  bool leaving_ = false;
};

struct HostState
{
  HostEntry entry_;
  // Its entry is gone; it is forgotten then unless it comes back.
  absl::Time expiresAt_ = absl::InfiniteFuture();
};

using Hosts = absl::btree_map<std::string, HostState>;

// Returns an entry as JSON, and reads it back; nothing if it is none.
std::string
WriteHost(const HostEntry& aEntry);
absl::optional<HostEntry>
ReadHost(absl::string_view aText);

// Addresses of a data centre that callers are told at least, so that the loss
// of one host leaves them another; hosts elsewhere fill the list.
inline constexpr std::size_t kMinAddresses = 2;
// Most addresses of one list.
inline constexpr std::size_t kMaxAddresses = 64;

// Returns the addresses for callers of a data centre: the ready hosts there,
// filled up from elsewhere. Without any ready host, the leaving ones.
std::vector<std::string>
PickAddresses(const Hosts& aHosts,
              absl::string_view aDataCentre,
              std::uint64_t aSeed);

// Forgets hosts whose time has come.
void
RemoveExpiredHosts(Hosts& aHosts, absl::Time aNow);

} // namespace lycheeplank::entry_hosts

#endif
