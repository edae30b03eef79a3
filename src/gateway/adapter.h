#ifndef LYCHEEPLANK_SRC_GATEWAY_ADAPTER_H
#define LYCHEEPLANK_SRC_GATEWAY_ADAPTER_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "http/message.h"
#include "lycheeplank/cache_index.h"
#include "lycheeplank/catalog.h"
#include "lycheeplank/fleet.h"
#include "lycheeplank/replica.h"

// The gateway's interface to a platform: messages in the gateway's own types.
// An adapter translates them to and from the formats of one platform; it has no
// state and no sockets.
namespace lycheeplank::gateway {

// The fields of a caller's request that the gateway uses.
struct CallerRequest
{
  std::string id_;
  std::string host_;
  std::string key_;
  // Timeout of the caller, counted from the arrival of the request.
  absl::optional<absl::Duration> callerTimeout_;
  std::string model_;
  std::uint32_t promptTokens_ = 0;
  std::uint32_t outputTokens_ = 0;
  // Parts of the prompt in order; the last one isn't shared with other
  // requests.
  std::vector<cache_index::Part> parts_;
  // Last event of an earlier stream that was cut and is to be continued.
  std::string lastEventId_;
};

// Fields that one attempt sends to a target in addition to the caller's
// headers.
struct Attempt
{
  std::string targetId_;
  std::string workspace_;
  absl::Duration timeLeft_;
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  // Version of the model's weights; set only for requests with a model.
  absl::optional<std::uint64_t> weights_;
  std::string cacheScope_;
  std::vector<cache_index::PartPlan> parts_;
  // Deadline for reading from cache stores, in milliseconds of their clock;
  // parts that aren't read by then are computed.
  std::int64_t readUntilMs_ = 0;
  // Replaces the caller's value if not empty.
  std::string lastEventId_;
};

// The fields of the head of a target's answer.
struct TargetAnswer
{
  std::string requestId_;
  // The head has several request ids or several stamps, of which readers take
  // different ones.
  bool isAmbiguous_ = false;
  // The answer comes from a target and not from a proxy in front of it.
  bool isStamped_ = false;
  // The target has not run the request and will not run it.
  bool notRun_ = false;
  // Another target has the address, or the target has other weights.
  bool isMisdirected_ = false;
  // The target is leaving and must get no new requests.
  bool isLeaving_ = false;
  // The target accepts no requests from this host for this time.
  absl::optional<absl::Duration> closedFor_;
  // Limit of the requests per second that the target takes from all hosts
  // together; no value while it names none.
  absl::optional<double> requestsPerSecond_;
  absl::optional<fleet::Load> load_;
  absl::optional<std::uint64_t> weights_;
  std::string instance_;
};

// Requests that the host answers itself.
enum class LocalCall
{
  None,
  // List of host addresses.
  Entries,
  // Whether this host accepts requests.
  Ready,
};

enum class StoreOperation
{
  // One page of the items of a prefix.
  List,
  // Long-polls for changes of a prefix.
  Watch,
  // Writes atomically under conditions.
  Commit,
  GrantLease,
  KeepLease,
  EndLease,
};

inline constexpr std::array<core::Named<StoreOperation>, 6> kStoreOperations{ {
  { StoreOperation::List, "list" },
  { StoreOperation::Watch, "watch" },
  { StoreOperation::Commit, "commit" },
  { StoreOperation::GrantLease, "grant_lease" },
  { StoreOperation::KeepLease, "keep_lease" },
  { StoreOperation::EndLease, "end_lease" },
} };

struct StoreCommand
{
  StoreOperation operation_ = StoreOperation::List;
  // Prefix of a list or watch; key of a commit.
  std::string key_;
  // Last key of the previous page.
  std::string afterKey_;
  // Watch: return only changes after this revision.
  std::uint64_t afterRevision_ = 0;
  absl::Duration wait_ = absl::ZeroDuration();
  // Commit: required revision of the key; 0 if it must not exist.
  absl::optional<std::uint64_t> expect_;
  // Commit: new value; no value deletes the key.
  absl::optional<std::string> value_;
  std::uint64_t lease_ = 0;
};

enum class StoreOutcome
{
  Ok,
  // The lease no longer exists.
  Absent,
  // The key isn't at the required revision; items_ has its current state.
  Conflict,
  // The requested history has been compacted; the prefix must be listed again.
  Compacted,
  // The service rejected the call and did nothing.
  Refused,
  // No answer; the service may or may not execute the call, also later.
  Lost,
};

inline constexpr std::array<core::Named<StoreOutcome>, 6> kStoreOutcomes{ {
  { StoreOutcome::Ok, "ok" },
  { StoreOutcome::Absent, "absent" },
  { StoreOutcome::Conflict, "conflict" },
  { StoreOutcome::Compacted, "forgotten" },
  { StoreOutcome::Refused, "refused" },
  { StoreOutcome::Lost, "lost" },
} };

struct StoreReply
{
  StoreOutcome outcome_ = StoreOutcome::Lost;
  std::vector<replica::Item> items_;
  bool more_ = false;
  // Revision at which the reply is valid, or of the commit.
  std::uint64_t revision_ = 0;
  std::uint64_t lease_ = 0;
  // Era of the store, which grows when it is restored from a backup; no value
  // if the store doesn't report it.
  absl::optional<std::uint64_t> era_;
};

// Type of an item of the store.
enum class ItemKind
{
  // Not used by hosts.
  Other,
  Catalog,
  Weights,
  Target,
  // Targets of a data centre get no requests while the item exists, whatever
  // its value.
  Evacuation,
};

struct ItemName
{
  ItemKind kind_ = ItemKind::Other;
  // Id of a target, model of weights, or evacuated data centre.
  std::string name_;
};

// An order to load weights. The target keeps running its requests meanwhile.
struct WeightsOrder
{
  std::string targetId_;
  std::string model_;
  std::uint64_t weights_ = 0;
  std::string owner_;
  std::uint64_t fence_ = 0;
  // Precondition: number of orders that the target has accepted so far.
  absl::optional<std::uint64_t> expectOrders_;
};

enum class OrderOutcome
{
  // The target carries out the order.
  Accepted,
  // The target already has the weights.
  Done,
  // Another order is in progress, or the precondition on orders fails.
  Conflict,
  // A newer owner has sent orders to the target.
  Fenced,
  Refused,
  // No answer; the order may or may not be accepted, also later.
  Lost,
};

inline constexpr std::array<core::Named<OrderOutcome>, 6> kOrderOutcomes{ {
  { OrderOutcome::Accepted, "accepted" },
  { OrderOutcome::Done, "done" },
  { OrderOutcome::Conflict, "conflict" },
  { OrderOutcome::Fenced, "fenced" },
  { OrderOutcome::Refused, "refused" },
  { OrderOutcome::Lost, "lost" },
} };

// State that a target reports, some hundred milliseconds old.
struct TargetReport
{
  // Start of the process, in milliseconds since 1970; 0 if not reported.
  std::int64_t bornMs_ = 0;
  bool isBusy_ = false;
  std::uint64_t orders_ = 0;
  absl::flat_hash_map<std::string, std::uint64_t> weights_;
};

// A cache store's answer to a request for changes or for the list of all parts
// that it holds.
struct StoreChanges
{
  std::uint64_t epoch_ = 0;
  std::uint64_t next_ = 0;
  // Earlier changes are lost; the full list must be read.
  bool gap_ = false;
  // Number of changes in the answer, readable or not. Smaller than next_ minus
  // the number from which changes were requested if some are missing.
  std::uint64_t reported_ = 0;
  std::vector<cache_index::Change> changes_;
  // The store's clock in milliseconds.
  absl::optional<std::int64_t> clockMs_;
};

// Translation for one platform. All functions are pure. Functions that read
// return no value, or an error kind, if the text can't be parsed.
struct Adapter
{
  CallerRequest (*readCaller_)(const http::RequestHead& aHead);
  LocalCall (*readLocal_)(const http::RequestHead& aHead);
  // Returns the body of an answer that lists host addresses.
  std::string (*writeEntries_)(const std::vector<std::string>& aAddresses,
                               absl::Duration aTimeToLive);
  std::string (*entriesDataCentre_)(const http::RequestHead& aHead);
  // Returns the header fields of a request to a target, without those for
  // framing.
  http::Fields (*targetFields_)(const http::RequestHead& aHead,
                                const Attempt& aAttempt);
  TargetAnswer (*readAnswer_)(const http::ResponseHead& aHead);

  http::Call (*writeStoreCall_)(const StoreCommand& aCommand);
  StoreReply (*readStoreReply_)(const StoreCommand& aCommand,
                                const http::Answer& aAnswer);
  ItemName (*parseKey_)(absl::string_view aKey);
  // Returns the prefixes of the store that hosts follow; they include the keys
  // that hosts write themselves.
  std::vector<std::string> (*prefixes_)();
  absl::optional<catalog::Catalog> (*readCatalog_)(const replica::Item& aItem);
  absl::optional<fleet::Target> (*readTarget_)(const replica::Item& aItem);
  absl::optional<std::uint64_t> (*readWeights_)(const replica::Item& aItem);

  http::Call (*writeOrder_)(const WeightsOrder& aOrder);
  OrderOutcome (*readOrderOutcome_)(const http::Answer& aAnswer);
  http::Call (*writeReportCall_)();
  absl::optional<TargetReport> (*readReport_)(const http::Answer& aAnswer);
  http::Call (*writeChangesCall_)(std::uint64_t aSince, absl::Duration aWait);
  http::Call (*writeHoldingsCall_)();
  absl::optional<StoreChanges> (*readChanges_)(const http::Answer& aAnswer);
  // aUntilMs: the store rejects the call if it arrives later by its clock.
  http::Call (*writeFreeCall_)(std::uint64_t aEpoch,
                               const std::vector<cache_index::Change>& aParts,
                               std::int64_t aUntilMs);
};

} // namespace lycheeplank::gateway

#endif
