#ifndef LYCHEEPLANK_PLATFORM_H
#define LYCHEEPLANK_PLATFORM_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// Commands to the platform's key-value service and its replies, as plain data,
// so that decisions can be tested without a socket.
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

// One command, executed by an adapter.
struct Command
{
  // Chosen by the sender and returned in the reply.
  std::uint64_t id_ = 0;
  Operation operation_ = Operation::Read;
  // Key, or prefix for List.
  std::string key_;
  // Value to write; for List the last key of the previous page.
  std::string value_;
  // Version that the key must have; 0 for an absent key, empty for any.
  absl::optional<std::uint64_t> expect_;
  // Lease to renew or revoke, or the lease that the written key is attached to.
  std::string lease_;
  // Duration of a lease, or maximum wait of a watch.
  absl::Duration duration_ = absl::ZeroDuration();
};

enum class Outcome
{
  Ok,
  // The key or lease does not exist.
  Absent,
  // The key has another version; version_ and value_ are the current ones.
  Conflict,
  // Refused before any effect.
  Refused,
  // No reply: the command may have been executed or may still be.
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
  // The granted lease.
  std::string lease_;
  std::vector<Entry> entries_;
  // More entries follow after the last one.
  bool more_ = false;
  std::vector<Host> hosts_;
};

} // namespace lycheeplank::platform

#endif
