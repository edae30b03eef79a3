#ifndef LYCHEEPLANK_SPILLOVER_H
#define LYCHEEPLANK_SPILLOVER_H

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"

// Which share of a service's requests the hosts of a data centre send to the
// targets of other data centres. All hosts compute it from the same shared
// figures: the work that the callers of each data centre bring, wherever it
// runs, and the targets that each data centre has. Work that has been sent away
// doesn't change these figures, so the share doesn't swing.
namespace lycheeplank::spillover {

// Work of one service that the hosts of one data centre have at this moment,
// running or waiting, at any target or at the hosts.
struct Demand
{
  double calls_ = 0.0;
  // Tokens that the calls hold, or will hold, in the targets' memory.
  double tokens_ = 0.0;
};

// Requests of one service that a host has refused lately. They count as demand:
// where a full data centre refuses at once, few requests run or wait there.
struct RefusedDemand
{
  // Decays with the time for which a request would have run.
  Demand demand_;
  absl::Time updatedAt_ = absl::InfinitePast();
};

// Returns the demand that refused requests would have at this moment. aRun: see
// Times.
Demand
RefusedAt(const RefusedDemand& aRefused, absl::Duration aRun, absl::Time aNow);

// Adds a request that would have held aTokens.
void
AddRefused(RefusedDemand& aRefused,
           double aTokens,
           absl::Duration aRun,
           absl::Time aNow);

// The demand of a data centre for a service, as sent between hosts, with stable
// hashes of the names: a host's own part, or the total of the data centre.
struct DemandRow
{
  std::uint32_t dataCentre_ = 0;
  std::uint32_t service_ = 0;
  bool isTotal_ = false;
  Demand demand_;
};

// The rows that each host has last sent, by host, and those of this host.
struct DemandReport
{
  std::vector<DemandRow> rows_;
  absl::Time reportedAt_ = absl::InfinitePast();
};

using DemandReports = absl::btree_map<std::string, DemandReport>;

// Age at which a reported demand isn't used any more.
inline constexpr absl::Duration kMaxDemandAge = absl::Seconds(1);

std::uint32_t
NameHash(absl::string_view aName);

// Returns the demand of a data centre: its newest total, or the sum of the
// parts if nobody has sent a total. No value without recent rows.
absl::optional<Demand>
TotalOf(const DemandReports& aReports,
        std::uint32_t aDataCentre,
        std::uint32_t aService,
        absl::Time aNow);

// Returns the totals of all data centres that have reported.
std::vector<DemandRow>
TotalRows(const DemandReports& aReports, absl::Time aNow);

// Returns the newest total of each data centre that a host has sent, for hosts
// that pass totals on; unlike TotalRows it never takes a sum of parts for one.
std::vector<DemandRow>
ReceivedTotals(const DemandReports& aReports, absl::Time aNow);

// Returns the sums of the parts that some hosts have sent, as one part.
std::vector<DemandRow>
SumParts(const DemandReports& aReports,
         const std::vector<std::string>& aHosts,
         absl::Time aNow);

// A data centre as far as one service is concerned.
struct DataCentre
{
  std::string name_;
  // The demand is recent.
  bool isKnown_ = false;
  // The demand in targets: how many full targets it would take.
  double need_ = 0.0;
  // Number of eligible targets that can start an answer within the goal.
  double targets_ = 0.0;
  // Mean slowness of these targets as this host sees it, so that a slow link
  // counts as well.
  double slowness_ = 1.0;
};

// Returns how many full targets a demand takes. A target has aSlots and
// aMemoryTokens; either is 0 if not known.
double
NeedOf(const Demand& aDemand, double aSlots, double aMemoryTokens);

// The time that a service's requests take.
struct Times
{
  // Desired time until the start of the answer.
  absl::Duration goal_ = absl::Seconds(1);
  // Time until the start of the answer at an idle target.
  absl::Duration start_ = absl::Milliseconds(100);
  // Mean time for which a request holds memory or a slot.
  absl::Duration run_ = absl::Milliseconds(1500);
};

enum class Reason
{
  // Fewer than two data centres have targets of the service, or the targets
  // don't report what the decision needs.
  Inactive,
  // The targets of the data centre suffice.
  Enough,
  // No recent figures of the data centre itself or of any other.
  Unknown,
  // The other data centres have no room.
  NoRoom,
  // An answer from elsewhere would not be enough earlier.
  NoGain,
  // More work than the targets can serve in time.
  Surplus,
  // The data centre has no target that can serve in time.
  NoTargets,
};

inline constexpr std::array<core::Named<Reason>, 7> kReasons{ {
  { Reason::Inactive, "inactive" },
  { Reason::Enough, "enough" },
  { Reason::Unknown, "unknown" },
  { Reason::NoRoom, "no_room" },
  { Reason::NoGain, "no_gain" },
  { Reason::Surplus, "surplus" },
  { Reason::NoTargets, "no_targets" },
} };

// Part of a target's memory or slots that is used while requests start in time.
// A long prompt takes an eighth of an engine's memory, so a fuller engine
// mostly has no room for one.
inline constexpr double kUsableShare = 0.85;
// Gain, as a share of a request's value, at which hosts begin and cease to send
// requests away. The gap keeps them from changing with each update.
inline constexpr double kStartGain = 0.05;
inline constexpr double kKeepGain = 0.02;
// Loss of an answer after the goal, as in the choice of a target.
inline constexpr double kLateLoss = 0.8;
// Averaging time of the share. Requests that wait and runs that hold memory
// show a change of the demand within about this time.
inline constexpr absl::Duration kShareTime = absl::Milliseconds(500);
// Smaller shares are taken for none.
inline constexpr double kMinShare = 0.005;
// Change of the share that is logged.
inline constexpr double kLoggedChange = 0.1;

// The decision for one service at the hosts of one data centre.
struct State
{
  Reason reason_ = Reason::Inactive;
  // Share of the requests to send away, and the room at each data centre that
  // may get them.
  double share_ = 0.0;
  std::vector<std::pair<std::string, double>> rooms_;
  // The waits that the decision has compared, in seconds.
  double localSeconds_ = 0.0;
  double remoteSeconds_ = 0.0;
  absl::Time updatedAt_ = absl::InfinitePast();
  double loggedShare_ = 0.0;
  Reason loggedReason_ = Reason::Inactive;
};

// Returns the expected wait in seconds until the start of an answer if the data
// centre's targets did the given work.
double
ExpectedWait(const DataCentre& aDataCentre, double aNeed, const Times& aTimes);

// Updates the decision of the hosts in data centre aOwn. Returns whether the
// change should be logged.
bool
Update(State& aState,
       const std::vector<DataCentre>& aDataCentres,
       absl::string_view aOwn,
       const Times& aTimes,
       absl::Time aNow);

// Ends sending away, at once.
bool
Reset(State& aState, Reason aReason);

// Returns the data centre to send one request to; empty for the host's own.
// aDraw: uniformly distributed random number of at least 0 and less than 1.
absl::string_view
DrawDestination(const State& aState, double aDraw);

} // namespace lycheeplank::spillover

#endif
