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

// What the gateway asks of the outside world, in its own terms. An adapter
// translates it to the words of one platform; it has no state and no sockets.
namespace lycheeplank::gateway {

// A caller's request, as far as the gateway decides by it.
struct CallerRequest
{
  std::string id_;
  std::string host_;
  std::string key_;
  // Time that the caller waits, counted from the arrival of the request.
  absl::optional<absl::Duration> patience_;
  std::string model_;
  std::uint32_t promptTokens_ = 0;
  std::uint32_t outputTokens_ = 0;
  // Parts of the prompt in their order; the last one is this caller's own.
  std::vector<cache_index::Part> parts_;
  // Where an earlier, cut stream stopped.
  std::string lastEventId_;
};

// What one attempt tells a target beside the caller's own headers.
struct Attempt
{
  std::string targetId_;
  std::string workspace_;
  absl::Duration timeLeft_;
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  // Only requests with a model.
  absl::optional<std::uint64_t> weights_;
  std::string cacheScope_;
  std::vector<cache_index::PartPlan> parts_;
  // On the cache stores' clock, in milliseconds; what isn't read from them by
  // then is computed.
  std::int64_t readUntilMs_ = 0;
  // Overrides the caller's own if not empty.
  std::string lastEventId_;
};

// What a target's answer says beside its body.
struct TargetAnswer
{
  std::string requestId_;
  // The answer stems from a target and not from something before it.
  bool isStamped_ = false;
  // The target has not run the request and won't.
  bool notRun_ = false;
  // Another target has the address, or the target has other weights.
  bool isMisdirected_ = false;
  // The target leaves; nothing new is to go there.
  bool isLeaving_ = false;
  // The target wants no requests from this host for so long.
  absl::optional<absl::Duration> closedFor_;
  absl::optional<fleet::Load> load_;
  absl::optional<std::uint64_t> weights_;
  std::string instance_;
};

// What a caller may ask of the system itself.
enum class LocalCall
{
  None,
  // Which addresses to use.
  Entries,
  // Whether this host takes requests.
  Ready,
};

enum class StoreOperation
{
  // One page of the items of a prefix.
  List,
  // Waits for changes of a prefix.
  Watch,
  // Writes under conditions, whole or not at all.
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
  // Last key of the page before.
  std::string afterKey_;
  // Watch: only changes after this revision.
  std::uint64_t afterRevision_ = 0;
  absl::Duration wait_ = absl::ZeroDuration();
  // Commit: revision that the key has to have; 0 if it has to be absent.
  absl::optional<std::uint64_t> expect_;
  // Commit: nothing deletes the key.
  absl::optional<std::string> value_;
  std::uint64_t lease_ = 0;
};

enum class StoreOutcome
{
  Ok,
  // The lease doesn't exist any more.
  Absent,
  // The key isn't as expected; items_ has its present state.
  Conflict,
  // The history asked for is gone; list again.
  Forgotten,
  // Nothing was done.
  Refused,
  // No answer: it may have been done, or may yet be.
  Lost,
};

inline constexpr std::array<core::Named<StoreOutcome>, 6> kStoreOutcomes{ {
  { StoreOutcome::Ok, "ok" },
  { StoreOutcome::Absent, "absent" },
  { StoreOutcome::Conflict, "conflict" },
  { StoreOutcome::Forgotten, "forgotten" },
  { StoreOutcome::Refused, "refused" },
  { StoreOutcome::Lost, "lost" },
} };

struct StoreReply
{
  StoreOutcome outcome_ = StoreOutcome::Lost;
  std::vector<replica::Item> items_;
  bool more_ = false;
  // Revision as of which the reply holds, or of the commit.
  std::uint64_t revision_ = 0;
  std::uint64_t lease_ = 0;
  // Era of the store, which grows when it comes back from a copy of its data;
  // nothing if the store doesn't tell.
  absl::optional<std::uint64_t> era_;
};

// What an item of the store tells.
enum class ItemKind
{
  // Nothing that concerns a host.
  Other,
  Catalog,
  Weights,
  Target,
};

struct ItemName
{
  ItemKind kind_ = ItemKind::Other;
  // Id of a target, or model of weights.
  std::string name_;
};

// An order that makes a target load weights; what runs goes on meanwhile.
struct WeightsOrder
{
  std::string targetId_;
  std::string model_;
  std::uint64_t weights_ = 0;
  std::string owner_;
  std::uint64_t fence_ = 0;
  // Orders that the target must have accepted so far.
  absl::optional<std::uint64_t> expectOrders_;
};

enum class OrderOutcome
{
  // Being carried out.
  Accepted,
  // Holds already.
  Done,
  // Another order is under way, or other orders came first.
  Conflict,
  // A newer owner has given orders.
  Fenced,
  Refused,
  // May have been accepted, or may yet be.
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

// A target's account of itself, some hundred milliseconds old.
struct TargetReport
{
  bool isBusy_ = false;
  std::uint64_t orders_ = 0;
  absl::flat_hash_map<std::string, std::uint64_t> weights_;
};

// A cache store's answer to a question for changes or for all that it holds.
struct StoreChanges
{
  std::uint64_t epoch_ = 0;
  std::uint64_t next_ = 0;
  // Changes before these are lost; the list is needed.
  bool gap_ = false;
  // Changes told, readable or not; fewer than lie between the number asked from
  // and next_ if some never come.
  std::uint64_t told_ = 0;
  std::vector<cache_index::Change> changes_;
  // The store's clock in milliseconds.
  absl::optional<std::int64_t> clockMs_;
};

// One platform's translation. All functions are pure; those that read return
// nothing or an error kind where the text can't be read.
struct Adapter
{
  CallerRequest (*readCaller_)(const http::RequestHead& aHead);
  LocalCall (*readLocal_)(const http::RequestHead& aHead);
  // Name, value and type of the list of addresses, in a body.
  std::string (*writeEntries_)(const std::vector<std::string>& aAddresses,
                               absl::Duration aTimeToLive);
  std::string (*entriesDataCentre_)(const http::RequestHead& aHead);
  // Returns the fields of a target's request, without those of its framing.
  http::Fields (*targetFields_)(const http::RequestHead& aHead,
                                const Attempt& aAttempt);
  TargetAnswer (*readAnswer_)(const http::ResponseHead& aHead);

  http::Call (*writeStoreCall_)(const StoreCommand& aCommand);
  StoreReply (*readStoreReply_)(const StoreCommand& aCommand,
                                const http::Answer& aAnswer);
  ItemName (*nameOf_)(absl::string_view aKey);
  // Prefixes of the store that hosts follow; the hosts' own keys lie under
  // them.
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
  http::Call (*writeFreeCall_)(std::uint64_t aEpoch,
                               const std::vector<cache_index::Change>& aParts);
};

} // namespace lycheeplank::gateway

#endif
