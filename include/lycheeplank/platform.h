#ifndef LYCHEEPLANK_PLATFORM_H
#define LYCHEEPLANK_PLATFORM_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// Commands to the platform's key-value service and its replies, as data, so
// that decisions can be run without a socket.
namespace lycheeplank::platform {

enum class Operation
{
  Read,
  // Waits until the version of a key differs from expect_.
  Watch,
  Write,
  Delete,
  List,
  GrantLease,
  KeepLease,
  DropLease,
  ListHosts,
};

// What an adapter carries out.
struct Command
{
  // Chosen by the sender; the reply carries it.
  std::uint64_t id_ = 0;
  Operation operation_ = Operation::Read;
  // Key, or prefix of a list.
  std::string key_;
  // Value to write; for a list the key to go on after.
  std::string value_;
  // Version that the key has to have; 0 for an absent key, empty for any.
  absl::optional<std::uint64_t> expect_;
  // Lease to keep or drop, or which the written key shall live with.
  std::string lease_;
  // Life of a lease, or longest wait of a watch.
  absl::Duration duration_ = absl::ZeroDuration();
};

enum class Outcome
{
  Ok,
  // The key or lease does not exist.
  Absent,
  // The key's version was another; version_ and value_ tell the current one.
  Conflict,
  // Refused before any effect.
  Refused,
  // No reply: the effect may have taken place or may still do.
  Lost,
};

struct Entry
{
  std::string key_;
  std::uint64_t version_ = 0;
};

struct Host
{
  std::string name_;
  std::string role_;
  std::string peerAddress_;
  std::string httpAddress_;
  std::string dataCentre_;
  bool leaving_ = false;
};

struct Reply
{
  std::uint64_t id_ = 0;
  Outcome outcome_ = Outcome::Lost;
  std::uint64_t version_ = 0;
  std::string value_;
  // The lease that was granted.
  std::string lease_;
  std::vector<Entry> entries_;
  // The list goes on after the last entry.
  bool more_ = false;
  std::vector<Host> hosts_;
};

} // namespace lycheeplank::platform

#endif
