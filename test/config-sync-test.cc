#include "lycheeplank/config_sync.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>
#include <catch2/catch.hpp>

namespace config = lycheeplank::config;
namespace core = lycheeplank::core;
namespace platform = lycheeplank::platform;

namespace {

// Fractions of calls that fail while faults are injected.
constexpr double kLostReplyShare = 0.15;
constexpr double kRefusalShare = 0.05;
constexpr double kLostPeerCallShare = 0.1;
constexpr double kWrongChunkShare = 0.05;

// A write whose reply is lost may still take effect within this time.
constexpr absl::Duration kMaxLateEffect = absl::Seconds(8);
// An accepted change must be in force on all hosts within this time.
constexpr absl::Duration kInForceBound = absl::Seconds(14);

struct Settings
{
  std::uint64_t seed_ = 1;
  int hosts_ = 6;
  int pollers_ = 2;
  int edits_ = 60;
  bool faults_ = true;
  absl::Duration chunkRetention_ = absl::Minutes(1);
};

// An operator's edit and the reply to it.
struct EditRecord
{
  config::EditRequested edit_;
  bool answered_ = false;
  std::uint64_t revision_ = 0;
  absl::optional<core::Error> error_;
};

struct Value
{
  std::string content_;
  std::uint64_t version_ = 0;
};

struct Host
{
  config::SyncState state_;
  // Incremented by a restart, so that events for an earlier incarnation are
  // dropped.
  int incarnation_ = 0;
  absl::Time frozenUntil_ = absl::InfinitePast();
  std::uint64_t revision_ = 0;
};

// A head that is or was current, and the time until which it was current.
struct PastHead
{
  config::Head head_;
  absl::Time until_ = absl::InfiniteFuture();
};

// Simulates hosts, operators and the platform's service with a virtual clock.
struct World
{
  struct Task
  {
    absl::Time at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;
    friend bool operator<(const Task& aLeft, const Task& aRight)
    {
      return aLeft.at_ != aRight.at_ ? aLeft.at_ > aRight.at_
                                     : aLeft.order_ > aRight.order_;
    }
  };

  Settings settings_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1800000000);
  absl::Time faultsEnd_ = absl::InfiniteFuture();
  absl::Time platformDownUntil_ = absl::InfinitePast();
  std::priority_queue<Task> tasks_;
  std::uint64_t order_ = 0;
  std::vector<Host> hosts_;
  std::map<std::string, Value> values_;
  std::uint64_t lastVersion_ = 0;
  std::uint64_t reads_ = 0;
  std::vector<PastHead> heads_;
  std::map<std::uint64_t, std::string> documents_;
  std::map<std::string, EditRecord> edits_;
  std::set<std::string> acceptedEdits_;
  std::uint64_t deletedChunks_ = 0;
  absl::Time headWrittenAt_;
  absl::Time lastPublishedAt_;
};

double
DrawFraction(World& aWorld)
{
  return std::uniform_real_distribution<double>(0, 1)(aWorld.random_);
}

int
DrawInt(World& aWorld, int aBound)
{
  return static_cast<int>(aWorld.random_() %
                          static_cast<std::uint64_t>(aBound));
}

absl::Duration
DrawTime(World& aWorld, absl::Duration aFrom, absl::Duration aTo)
{
  return aFrom + (aTo - aFrom) * DrawFraction(aWorld);
}

// Returns whether to inject a fault that has the given probability.
bool
InjectsFault(World& aWorld, double aProbability)
{
  return aWorld.settings_.faults_ && aWorld.now_ < aWorld.faultsEnd_ &&
         DrawFraction(aWorld) < aProbability;
}

void
Schedule(World& aWorld, absl::Duration aDelay, std::function<void()> aRun)
{
  aWorld.tasks_.push(
    { aWorld.now_ + aDelay, ++aWorld.order_, std::move(aRun) });
}

std::string
NameOf(int aHost)
{
  return absl::StrCat("host", aHost);
}

config::PeerAddress
AddressOf(int aHost)
{
  return { NameOf(aHost), absl::StrCat("10.0.0.", aHost, ":7000") };
}

int
IndexOf(const config::PeerAddress& aPeer)
{
  int index = 0;
  REQUIRE(absl::SimpleAtoi(absl::StripPrefix(aPeer.name_, "host"), &index));
  return index;
}

void
PerformEffect(World& aWorld, int aHost, const config::Effect& aEffect);

// Passes an event to a host and performs the effects. The event waits while the
// host is frozen, and is dropped if the host was restarted.
void
Deliver(World& aWorld, int aHost, int aIncarnation, config::EventBody aBody)
{
  auto& host = aWorld.hosts_[aHost];
  if (host.incarnation_ != aIncarnation) {
    return;
  }
  if (host.frozenUntil_ > aWorld.now_) {
    Schedule(aWorld,
             host.frozenUntil_ - aWorld.now_,
             [&aWorld, aHost, aIncarnation, body = std::move(aBody)] {
               Deliver(aWorld, aHost, aIncarnation, body);
             });
    return;
  }
  const auto effects = config::Step(
    host.state_, { aWorld.now_, aWorld.random_(), std::move(aBody) });
  for (const auto& effect : effects) {
    PerformEffect(aWorld, aHost, effect);
  }
}

void
DeliverAfter(World& aWorld,
             absl::Duration aDelay,
             int aHost,
             config::EventBody aBody)
{
  const int incarnation = aWorld.hosts_[aHost].incarnation_;
  Schedule(
    aWorld, aDelay, [&aWorld, aHost, incarnation, body = std::move(aBody)] {
      Deliver(aWorld, aHost, incarnation, body);
    });
}

// Assembles the document of a head from the stored chunks, and checks that it
// is valid.
std::string
DocumentOf(World& aWorld, const config::Head& aHead)
{
  std::vector<config::Section> sections;
  for (const auto& entry : aHead.sections_) {
    if (entry.chunks_.empty()) {
      continue;
    }
    config::Section section{ entry.name_ };
    for (const auto& digest : entry.chunks_) {
      const auto chunk =
        aWorld.values_.find(absl::StrCat(config::kChunkPrefix, digest));
      REQUIRE(chunk != aWorld.values_.end());
      REQUIRE(core::Sha256Hex(chunk->second.content_) == digest);
      section.text_ += chunk->second.content_;
    }
    sections.push_back(std::move(section));
  }
  REQUIRE(config::Check(sections).problems_.empty());
  return config::Join(sections);
}

std::string
SectionText(const std::string& aDocument, const std::string& aName)
{
  for (const auto& section : config::Split(aDocument).sections_) {
    if (section.name_ == aName) {
      return section.text_;
    }
  }
  return "";
}

// Checks that a new head adds exactly one edit, which was not accepted before
// and has no conflict, and leaves all other sections unchanged.
void
CheckChange(World& aWorld,
            const config::Head& aBefore,
            const config::Head& aAfter,
            const std::string& aDocument)
{
  REQUIRE(aAfter.revision_ == aBefore.revision_ + 1);
  const auto& change = aAfter.history_.back();
  REQUIRE(change.revision_ == aAfter.revision_);
  REQUIRE(aWorld.acceptedEdits_.insert(change.author_).second);
  const auto& edit = aWorld.edits_.at(change.author_);
  for (const auto& section : edit.edit_.sections_) {
    CHECK(SectionText(aDocument, section.name_) == section.text_);
    const auto* const before = config::FindSection(aBefore, section.name_);
    const bool changed = std::count(change.sections_.begin(),
                                    change.sections_.end(),
                                    section.name_) > 0;
    if (before != nullptr && changed) {
      CHECK(before->revision_ <= section.baseRevision_);
    }
  }
  for (const auto& section : aBefore.sections_) {
    const auto* const after = config::FindSection(aAfter, section.name_);
    REQUIRE(after != nullptr);
    if (after->revision_ != aAfter.revision_) {
      CHECK(after->chunks_ == section.chunks_);
    }
  }
}

// Checks a head that was just written and records it.
void
CheckNewHead(World& aWorld, const std::string& aText)
{
  const auto head = config::ParseHead(aText);
  REQUIRE(head);
  const std::string document = DocumentOf(aWorld, *head);
  const config::Head before =
    aWorld.heads_.empty() ? config::Head() : aWorld.heads_.back().head_;
  if (head->revision_ == before.revision_) {
    REQUIRE(aWorld.documents_.at(head->revision_) == document);
  } else {
    CheckChange(aWorld, before, *head, document);
  }
  aWorld.documents_[head->revision_] = document;
  if (!aWorld.heads_.empty()) {
    aWorld.heads_.back().until_ = aWorld.now_;
  }
  aWorld.heads_.push_back({ *head });
  aWorld.headWrittenAt_ = aWorld.now_;
}

// Checks that neither the current head nor a recent one references a deleted
// chunk.
void
CheckChunkUnused(World& aWorld, const std::string& aKey)
{
  const auto& options = aWorld.hosts_.front().state_.options_;
  const std::string digest(absl::StripPrefix(aKey, config::kChunkPrefix));
  // An edit sets the time at which it retires a chunk before its head is
  // written, at most editDeadline_ and kMaxLateEffect earlier.
  const absl::Time recent = aWorld.now_ - options.chunkRetention_ +
                            options.editDeadline_ + kMaxLateEffect;
  for (const auto& past : aWorld.heads_) {
    if (past.until_ <= recent) {
      continue;
    }
    for (const auto& section : past.head_.sections_) {
      CHECK(std::count(
              section.chunks_.begin(), section.chunks_.end(), digest) == 0);
    }
  }
  ++aWorld.deletedChunks_;
}

// Executes a command on the simulated platform's service.
platform::Reply
Execute(World& aWorld, const platform::Command& aCommand)
{
  using platform::Operation;
  using platform::Outcome;
  auto& values = aWorld.values_;
  platform::Reply reply;
  reply.id_ = aCommand.id_;
  const auto found = values.find(aCommand.key_);
  const std::uint64_t version =
    found == values.end() ? 0 : found->second.version_;
  reply.version_ = version;
  reply.outcome_ = Outcome::Ok;
  const bool mutates = aCommand.operation_ == Operation::Write ||
                       aCommand.operation_ == Operation::Delete;
  if (mutates && aCommand.expect_ && *aCommand.expect_ != version) {
    reply.outcome_ = Outcome::Conflict;
    reply.value_ = found == values.end() ? "" : found->second.content_;
  } else if (aCommand.operation_ == Operation::Write) {
    REQUIRE(aCommand.value_.size() < 1U << 20U);
    values[aCommand.key_] = { aCommand.value_, ++aWorld.lastVersion_ };
    reply.version_ = aWorld.lastVersion_;
    if (aCommand.key_ == config::kHeadKey) {
      CheckNewHead(aWorld, aCommand.value_);
    }
  } else if (aCommand.operation_ == Operation::Delete) {
    if (found != values.end()) {
      values.erase(found);
      CheckChunkUnused(aWorld, aCommand.key_);
    }
  } else if (aCommand.operation_ == Operation::List) {
    for (auto entry =
           values.upper_bound(std::max(aCommand.key_, aCommand.value_));
         entry != values.end() && absl::StartsWith(entry->first, aCommand.key_);
         ++entry) {
      constexpr std::size_t kPage = 8;
      if (reply.entries_.size() == kPage) {
        reply.more_ = true;
        break;
      }
      reply.entries_.push_back({ entry->first, entry->second.version_ });
    }
  } else {
    ++aWorld.reads_;
    reply.outcome_ = found == values.end() ? Outcome::Absent : Outcome::Ok;
    reply.value_ = found == values.end() ? "" : found->second.content_;
  }
  return reply;
}

// Sends a platform command. Injected faults refuse it, lose its reply or the
// command itself, or delay its effect.
void
CallPlatform(World& aWorld, int aHost, const platform::Command& aCommand)
{
  const auto answer = [&aWorld, aHost](absl::Duration aDelay,
                                       platform::Reply aReply) {
    DeliverAfter(aWorld, aDelay, aHost, std::move(aReply));
  };
  platform::Reply failed;
  failed.id_ = aCommand.id_;
  const absl::Duration latency =
    DrawTime(aWorld, absl::Milliseconds(1), absl::Milliseconds(30));
  const bool down = aWorld.platformDownUntil_ > aWorld.now_;
  if (InjectsFault(aWorld, kRefusalShare) ||
      (down && DrawFraction(aWorld) < 0.5)) {
    failed.outcome_ = platform::Outcome::Refused;
    answer(latency, failed);
    return;
  }
  if (down) {
    answer(absl::Seconds(1), failed);
    return;
  }
  if (!InjectsFault(aWorld, kLostReplyShare)) {
    const int incarnation = aWorld.hosts_[aHost].incarnation_;
    Schedule(aWorld, latency, [&aWorld, aHost, incarnation, aCommand, latency] {
      const auto reply = Execute(aWorld, aCommand);
      Schedule(aWorld, latency, [&aWorld, aHost, incarnation, reply] {
        Deliver(aWorld, aHost, incarnation, reply);
      });
    });
    return;
  }
  answer(absl::Seconds(1), failed);
  const double kind = DrawFraction(aWorld);
  if (kind < 0.6) {
    const absl::Duration late =
      kind < 0.3 ? latency : DrawTime(aWorld, latency, kMaxLateEffect);
    Schedule(aWorld,
             std::min(late, aWorld.faultsEnd_ - aWorld.now_),
             [&aWorld, aCommand] { Execute(aWorld, aCommand); });
  }
}

// Sends a fetch to a peer. Injected faults lose the call or corrupt a chunk.
void
CallPeer(World& aWorld, int aHost, const config::FetchFromPeer& aFetch)
{
  const int peer = IndexOf(aFetch.peer_);
  const int incarnation = aWorld.hosts_[aHost].incarnation_;
  const absl::Duration latency =
    DrawTime(aWorld, absl::Milliseconds(1), absl::Milliseconds(10));
  if (InjectsFault(aWorld, kLostPeerCallShare)) {
    return;
  }
  Schedule(
    aWorld, latency, [&aWorld, aHost, incarnation, peer, aFetch, latency] {
      auto& host = aWorld.hosts_[peer];
      if (host.frozenUntil_ > aWorld.now_) {
        return;
      }
      auto served = config::ServeChunks(host.state_, aFetch.digests_);
      config::PeerReply answer{ aFetch.id_, true, served.head_ };
      answer.chunks_ = std::move(served.chunks_);
      if (!answer.chunks_.empty() && InjectsFault(aWorld, kWrongChunkShare)) {
        answer.chunks_.front().content_ += "damage";
      }
      Schedule(aWorld, latency, [&aWorld, aHost, incarnation, answer] {
        Deliver(aWorld, aHost, incarnation, answer);
      });
    });
}

// Reports the revision of host aAbout to host aTo. Injected faults lose the
// report or delay it by several seconds.
void
ReportRevision(World& aWorld, int aTo, int aAbout)
{
  if (aTo == aAbout || aWorld.hosts_[aAbout].frozenUntil_ > aWorld.now_ ||
      InjectsFault(aWorld, kLostPeerCallShare)) {
    return;
  }
  const auto revision = config::RevisionOf(aWorld.hosts_[aAbout].state_);
  const absl::Duration latency =
    InjectsFault(aWorld, 0.1)
      ? DrawTime(aWorld, absl::Seconds(1), absl::Seconds(10))
      : DrawTime(aWorld, absl::Milliseconds(1), absl::Milliseconds(10));
  DeliverAfter(aWorld,
               latency,
               aTo,
               config::PeerRevisionReceived{ AddressOf(aAbout), revision });
}

void
RecordPublished(World& aWorld, int aHost, const config::Publish& aPublish)
{
  auto& host = aWorld.hosts_[aHost];
  const auto& accepted = *aPublish.accepted_;
  REQUIRE(accepted.head_.revision_ > host.revision_);
  host.revision_ = accepted.head_.revision_;
  aWorld.lastPublishedAt_ = aWorld.now_;
  REQUIRE(accepted.config_->revision_ == host.revision_);
  REQUIRE(config::Join(accepted.sections_) ==
          aWorld.documents_.at(host.revision_));
}

void
RecordAnswer(World& aWorld, const config::AnswerEdit& aAnswer)
{
  auto& edit = aWorld.edits_.at(aAnswer.id_);
  REQUIRE_FALSE(edit.answered_);
  edit.answered_ = true;
  edit.revision_ = aAnswer.revision_;
  edit.error_ = aAnswer.error_;
  if (aAnswer.error_) {
    return;
  }
  const auto document = aWorld.documents_.find(aAnswer.revision_);
  REQUIRE(document != aWorld.documents_.end());
  for (const auto& section : edit.edit_.sections_) {
    CHECK(SectionText(document->second, section.name_) == section.text_);
  }
}

void
PerformEffect(World& aWorld, int aHost, const config::Effect& aEffect)
{
  if (const auto* send = absl::get_if<config::SendCommand>(&aEffect)) {
    CallPlatform(aWorld, aHost, send->command_);
  } else if (const auto* fetch =
               absl::get_if<config::FetchFromPeer>(&aEffect)) {
    CallPeer(aWorld, aHost, *fetch);
  } else if (const auto* request =
               absl::get_if<config::RequestRevision>(&aEffect)) {
    ReportRevision(aWorld, aHost, IndexOf(request->peer_));
  } else if (const auto* check =
               absl::get_if<config::CheckDocument>(&aEffect)) {
    DeliverAfter(
      aWorld,
      DrawTime(aWorld, absl::Milliseconds(1), absl::Milliseconds(200)),
      aHost,
      config::RunCheck(*check));
  } else if (const auto* publish = absl::get_if<config::Publish>(&aEffect)) {
    RecordPublished(aWorld, aHost, *publish);
  } else if (const auto* answer = absl::get_if<config::AnswerEdit>(&aEffect)) {
    RecordAnswer(aWorld, *answer);
  }
}

void
SetPollers(World& aWorld, int aFirst)
{
  const int count = static_cast<int>(aWorld.hosts_.size());
  for (int host = 0; host < count; ++host) {
    config::PollersChanged pollers;
    for (int i = 0; i < aWorld.settings_.pollers_; ++i) {
      const int poller = (aFirst + i) % count;
      pollers.self_ = pollers.self_ || poller == host;
      if (poller != host) {
        pollers.others_.push_back(AddressOf(poller));
      }
    }
    DeliverAfter(aWorld,
                 DrawTime(aWorld, absl::ZeroDuration(), absl::Seconds(1)),
                 host,
                 pollers);
  }
}

void
StartHost(World& aWorld, int aHost)
{
  auto& host = aWorld.hosts_[aHost];
  ++host.incarnation_;
  host.state_ = config::SyncState();
  host.state_.host_ = NameOf(aHost);
  host.state_.options_.chunkRetention_ = aWorld.settings_.chunkRetention_;
  host.frozenUntil_ = absl::InfinitePast();
  host.revision_ = 0;
}

void
ScheduleTicks(World& aWorld, int aHost)
{
  Schedule(
    aWorld,
    DrawTime(aWorld, absl::Milliseconds(80), absl::Milliseconds(120)),
    [&aWorld, aHost] {
      Deliver(aWorld, aHost, aWorld.hosts_[aHost].incarnation_, config::Tick());
      ScheduleTicks(aWorld, aHost);
    });
}

void
ScheduleProbes(World& aWorld, int aHost)
{
  Schedule(aWorld,
           DrawTime(aWorld, absl::Milliseconds(800), absl::Milliseconds(1200)),
           [&aWorld, aHost] {
             const int peer =
               DrawInt(aWorld, static_cast<int>(aWorld.hosts_.size()));
             ReportRevision(aWorld, aHost, peer);
             ReportRevision(aWorld, peer, aHost);
             ScheduleProbes(aWorld, aHost);
           });
}

void
InjectFault(World& aWorld)
{
  const int host = DrawInt(aWorld, static_cast<int>(aWorld.hosts_.size()));
  switch (DrawInt(aWorld, 5)) {
    case 0:
      StartHost(aWorld, host);
      SetPollers(aWorld, DrawInt(aWorld, 4));
      break;
    case 1:
      aWorld.hosts_[host].frozenUntil_ = std::min(
        aWorld.faultsEnd_,
        aWorld.now_ + DrawTime(aWorld, absl::Seconds(1), absl::Seconds(40)));
      break;
    case 2:
      aWorld.platformDownUntil_ = std::min(
        aWorld.faultsEnd_,
        aWorld.now_ + DrawTime(aWorld, absl::Seconds(1), absl::Seconds(15)));
      break;
    case 3:
      SetPollers(aWorld, host);
      break;
    default:
      DeliverAfter(aWorld, absl::ZeroDuration(), host, config::CleanupDue());
  }
}

void
ScheduleFaults(World& aWorld)
{
  Schedule(
    aWorld, DrawTime(aWorld, absl::Seconds(1), absl::Seconds(7)), [&aWorld] {
      if (aWorld.now_ < aWorld.faultsEnd_) {
        InjectFault(aWorld);
        ScheduleFaults(aWorld);
      }
    });
}

// Starts clean-up passes on a host at short random intervals.
void
ScheduleCleanups(World& aWorld, int aHost)
{
  Schedule(aWorld,
           DrawTime(aWorld, absl::Milliseconds(20), absl::Milliseconds(200)),
           [&aWorld, aHost] {
             DeliverAfter(
               aWorld, absl::ZeroDuration(), aHost, config::CleanupDue());
             ScheduleCleanups(aWorld, aHost);
           });
}

// Returns a random text for a section. There are only few different texts, so
// that edits reference old chunks again. Two edits that are valid by themselves
// may be invalid together.
std::string
DrawSection(World& aWorld, const std::string& aName)
{
  const int number = 1 + DrawInt(aWorld, 5);
  const int maybeInvalid = DrawInt(aWorld, 20) == 0 ? 0 : number;
  if (aName == "limits") {
    return absl::StrCat("limits:\n  owner: on-call\n  values: {max_loading: ",
                        maybeInvalid,
                        "}\n");
  }
  if (aName == "workspaces") {
    return absl::StrCat("workspaces:\n  owner: desk\n  entries:\n    w",
                        number % 2,
                        ": {max_running: ",
                        maybeInvalid,
                        "}\n");
  }
  if (aName == "rules") {
    return absl::StrCat("rules:\n  owner: desk\n  entries:\n    r",
                        number,
                        ": {workspaces: [w",
                        number % 2,
                        "]}\n");
  }
  return absl::StrCat(
    "stores:\n  owner: machines\n  entries:\n    s: {url: 'http://10.0.0.",
    number,
    ":8000', data_centre: lagos-west-1}\n");
}

// Sends an edit of one or two sections to a random host, sometimes based on an
// older revision.
void
RequestRandomEdit(World& aWorld)
{
  const std::vector<std::string> names{
    "limits", "workspaces", "rules", "stores"
  };
  const int host = DrawInt(aWorld, static_cast<int>(aWorld.hosts_.size()));
  const auto revision = config::RevisionOf(aWorld.hosts_[host].state_);
  const auto staleness = static_cast<std::uint64_t>(
    DrawInt(aWorld, 4) == 0 ? DrawInt(aWorld, 3) : 0);
  config::EditRequested edit;
  edit.id_ = absl::StrCat("edit", aWorld.edits_.size());
  edit.author_ = edit.id_;
  const std::size_t first = aWorld.random_() % names.size();
  const std::size_t count = 1 + aWorld.random_() % 2;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& name = names[(first + i) % names.size()];
    edit.sections_.push_back({ name,
                               DrawSection(aWorld, name),
                               revision - std::min(revision, staleness) });
  }
  aWorld.edits_[edit.id_].edit_ = edit;
  DeliverAfter(aWorld, absl::Milliseconds(1), host, edit);
}

void
ScheduleEdits(World& aWorld, int aLeft)
{
  if (aLeft == 0) {
    return;
  }
  Schedule(aWorld,
           DrawTime(aWorld, absl::Milliseconds(50), absl::Seconds(4)),
           [&aWorld, aLeft] {
             const int concurrent = 1 + DrawInt(aWorld, 3);
             for (int i = 0; i < concurrent; ++i) {
               RequestRandomEdit(aWorld);
             }
             ScheduleEdits(aWorld, aLeft - std::min(aLeft, concurrent));
           });
}

void
RunUntil(World& aWorld, absl::Time aEnd)
{
  while (!aWorld.tasks_.empty() && aWorld.tasks_.top().at_ <= aEnd) {
    const auto task = aWorld.tasks_.top();
    aWorld.tasks_.pop();
    aWorld.now_ = task.at_;
    task.run_();
  }
  aWorld.now_ = aEnd;
}

void
StartWorld(World& aWorld)
{
  aWorld.random_.seed(aWorld.settings_.seed_);
  aWorld.hosts_.resize(static_cast<std::size_t>(aWorld.settings_.hosts_));
  for (int host = 0; host < aWorld.settings_.hosts_; ++host) {
    StartHost(aWorld, host);
    ScheduleTicks(aWorld, host);
    ScheduleProbes(aWorld, host);
  }
  SetPollers(aWorld, 0);
}

// Checks that all hosts have the newest revision in force, and that no edit
// that was reported as not executed was accepted. To be called after the end of
// the faults, when all edits are answered.
void
CheckConverged(World& aWorld)
{
  REQUIRE_FALSE(aWorld.heads_.empty());
  const auto newest = aWorld.heads_.back().head_.revision_;
  for (const auto& host : aWorld.hosts_) {
    CHECK(host.revision_ == newest);
    CHECK(config::Join(host.state_.inForce_->sections_) ==
          aWorld.documents_.at(newest));
  }
  for (const auto& [id, edit] : aWorld.edits_) {
    INFO(id);
    const bool refused = edit.error_ && edit.error_->run_ == core::RunState::No;
    if (refused) {
      CHECK(aWorld.acceptedEdits_.count(id) == 0);
    }
  }
}

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  std::uint64_t value = aDefault;
  if (text != nullptr && !absl::SimpleAtoi(text, &value)) {
    FAIL(aName << " is not a number");
  }
  return value;
}

struct Totals
{
  std::size_t accepted_ = 0;
  std::size_t conflicting_ = 0;
  std::size_t invalid_ = 0;
  std::size_t unavailable_ = 0;
  std::size_t unknown_ = 0;
  std::uint64_t deleted_ = 0;
};

void
RunWithFaults(std::uint64_t aSeed, int aEdits, Totals& aTotals)
{
  INFO("repeat with: LYCHEEPLANK_SEED="
       << aSeed << " LYCHEEPLANK_STEPS=" << aEdits
       << " build/config-sync-test 'changes survive faults'");
  World world;
  world.settings_.seed_ = aSeed;
  world.settings_.edits_ = aEdits;
  StartWorld(world);
  // One edit takes a second on average. The last edits may take until their
  // deadline.
  world.faultsEnd_ = world.now_ + absl::Seconds(2 * aEdits) + absl::Seconds(40);
  ScheduleEdits(world, aEdits);
  ScheduleFaults(world);
  RunUntil(world, world.faultsEnd_ + kInForceBound);
  CheckConverged(world);
  aTotals.accepted_ += world.acceptedEdits_.size();
  aTotals.deleted_ += world.deletedChunks_;
  for (const auto& [id, edit] : world.edits_) {
    if (edit.error_) {
      using Kind = core::ErrorKind;
      const Kind kind = edit.error_->kind_;
      aTotals.conflicting_ += kind == Kind::ConfigConflict ? 1 : 0;
      aTotals.invalid_ += kind == Kind::ConfigInvalid ? 1 : 0;
      aTotals.unavailable_ += kind == Kind::PlatformUnavailable ? 1 : 0;
      aTotals.unknown_ += kind == Kind::OutcomeUnknown ? 1 : 0;
    }
  }
}

} // namespace

TEST_CASE("changes survive faults")
{
  constexpr std::uint64_t kSeeds = 40;
  constexpr std::uint64_t kEdits = 60;
  const auto first = FromEnvironment("LYCHEEPLANK_SEED", 1);
  const bool chosen = std::getenv("LYCHEEPLANK_SEED") != nullptr;
  const auto edits =
    static_cast<int>(FromEnvironment("LYCHEEPLANK_STEPS", kEdits));
  Totals totals;
  for (std::uint64_t seed = first; seed < first + (chosen ? 1 : kSeeds);
       ++seed) {
    RunWithFaults(seed, edits, totals);
  }
  WARN("accepted " << totals.accepted_ << ", conflicting "
                   << totals.conflicting_ << ", invalid " << totals.invalid_
                   << ", unavailable " << totals.unavailable_ << ", unknown "
                   << totals.unknown_ << ", chunks deleted "
                   << totals.deleted_);
  if (!chosen) {
    CHECK(totals.accepted_ > 10 * kSeeds);
    CHECK(totals.conflicting_ > 0);
    CHECK(totals.invalid_ > 0);
    CHECK(totals.unknown_ > 0);
    CHECK(totals.deleted_ > 0);
  }
}

TEST_CASE("chunks that return to use survive clean-ups")
{
  constexpr std::uint64_t kSeeds = 10;
  constexpr int kRounds = 60;
  const auto first = FromEnvironment("LYCHEEPLANK_SEED", 1);
  const bool chosen = std::getenv("LYCHEEPLANK_SEED") != nullptr;
  std::uint64_t deleted = 0;
  for (std::uint64_t seed = first; seed < first + (chosen ? 1 : kSeeds);
       ++seed) {
    INFO("repeat with: LYCHEEPLANK_SEED="
         << seed << " build/config-sync-test 'chunks that return*'");
    World world;
    world.settings_.seed_ = seed;
    world.settings_.chunkRetention_ = absl::Milliseconds(500);
    StartWorld(world);
    world.faultsEnd_ = world.now_ + absl::Seconds(4 * kRounds);
    for (int host = 0; host < world.settings_.hosts_; ++host) {
      ScheduleCleanups(world, host);
    }
    ScheduleEdits(world, kRounds);
    RunUntil(world, world.faultsEnd_ + kInForceBound);
    CheckConverged(world);
    deleted += world.deletedChunks_;
  }
  CHECK(deleted > 0);
}

TEST_CASE("a change takes effect on many hosts in time and with few reads")
{
  World world;
  world.settings_.hosts_ = 350;
  world.settings_.pollers_ = 4;
  world.settings_.faults_ = false;
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Seconds(10));
  absl::Duration slowest;
  for (int round = 0; round < 3; ++round) {
    const std::string text = absl::StrCat(
      "limits:\n  owner: on-call\n  values: {max_loading: ", round + 1, "}\n");
    const std::string id = absl::StrCat("edit", round);
    const config::EditRequested edit{ id, id, { { "limits", text, 100 } } };
    world.edits_[id].edit_ = edit;
    DeliverAfter(world, absl::ZeroDuration(), round, edit);
    RunUntil(world, world.now_ + kInForceBound);
    CheckConverged(world);
    slowest = std::max(slowest, world.lastPublishedAt_ - world.headWrittenAt_);
  }
  WARN("in force on " << world.hosts_.size() << " hosts within "
                      << absl::FormatDuration(slowest));
  world.reads_ = 0;
  RunUntil(world, world.now_ + absl::Minutes(1));
  WARN("platform reads in a quiet minute: " << world.reads_);
  // Each of the four pollers reads about every three seconds; other hosts don't
  // read.
  CHECK(world.reads_ >= 60);
  CHECK(world.reads_ <= 110);
}

TEST_CASE("most chunks of a long document are fetched from peers")
{
  World world;
  world.settings_.hosts_ = 10;
  world.settings_.faults_ = false;
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Seconds(1));
  std::string text = "limits:\n  owner: on-call\n  values:\n";
  constexpr std::size_t kBytes = 3UL << 20U;
  while (text.size() < kBytes) {
    absl::StrAppend(&text, "    # remark ", world.random_(), "\n");
  }
  text += "    max_loading: 3\n";
  const config::EditRequested edit{ "long", "long", { { "limits", text, 0 } } };
  world.edits_["long"].edit_ = edit;
  DeliverAfter(world, absl::ZeroDuration(), 9, edit);
  RunUntil(world, world.now_ + kInForceBound);
  CheckConverged(world);
  const auto chunks = world.heads_.back().head_.sections_[0].chunks_.size();
  CHECK(chunks > 32);
  std::uint64_t read = 0;
  for (const auto& host : world.hosts_) {
    read += host.state_.counts_[static_cast<std::size_t>(
      config::SyncCount::PlatformChunkReads)];
  }
  // Only the two pollers may read the chunks from the platform.
  CHECK(read <= 2 * chunks);
}

TEST_CASE("a host that starts during an outage of the platform fetches the "
          "configuration from its peers")
{
  World world;
  world.settings_.faults_ = false;
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Seconds(1));
  RequestRandomEdit(world);
  RunUntil(world, world.now_ + kInForceBound);
  CheckConverged(world);
  world.platformDownUntil_ = absl::InfiniteFuture();
  StartHost(world, 3);
  RunUntil(world, world.now_ + kInForceBound);
  CheckConverged(world);
}

TEST_CASE("a change takes effect in time even if all pollers are frozen")
{
  World world;
  world.settings_.faults_ = false;
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Seconds(1));
  RequestRandomEdit(world);
  RunUntil(world, world.now_ + kInForceBound);
  CheckConverged(world);
  for (int poller = 0; poller < world.settings_.pollers_; ++poller) {
    world.hosts_[poller].frozenUntil_ = world.now_ + absl::Minutes(5);
  }
  const std::string text =
    "limits:\n  owner: on-call\n  values: {max_loading: 77}\n";
  const config::EditRequested edit{ "late", "late", { { "limits", text, 9 } } };
  world.edits_["late"].edit_ = edit;
  DeliverAfter(world, absl::ZeroDuration(), 4, edit);
  // The host that accepted the edit fails before it reports the new revision to
  // the others.
  while (!world.edits_["late"].answered_) {
    RunUntil(world, world.now_ + absl::Milliseconds(10));
  }
  StartHost(world, 4);
  world.hosts_[4].frozenUntil_ = absl::InfiniteFuture();
  const auto newest = world.heads_.back().head_.revision_;
  RunUntil(world, world.now_ + kInForceBound);
  for (const int host : { 2, 3, 5 }) {
    CHECK(world.hosts_[host].revision_ == newest);
  }
}

TEST_CASE("an edit that is based on a revision before the removal of its "
          "section conflicts")
{
  World world;
  world.settings_.faults_ = false;
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Seconds(1));
  const std::string text =
    "limits:\n  owner: on-call\n  values: {max_loading: 3}\n";
  const auto request = [&](const std::string& aId,
                           const std::string& aText,
                           std::uint64_t aBase) -> const EditRecord& {
    const config::EditRequested edit{ aId,
                                      aId,
                                      { { "limits", aText, aBase } } };
    world.edits_[aId].edit_ = edit;
    DeliverAfter(world, absl::ZeroDuration(), 0, edit);
    RunUntil(world, world.now_ + absl::Seconds(5));
    return world.edits_[aId];
  };
  CHECK(request("made", text, 0).revision_ == 1);
  CHECK(request("removed", "", 1).revision_ == 2);
  CHECK(world.hosts_[5].state_.inForce_->sections_.empty());
  const auto& stale = request("stale", text, 1);
  REQUIRE(stale.error_);
  CHECK(stale.error_->kind_ == core::ErrorKind::ConfigConflict);
  CHECK(request("again", text, 2).revision_ == 3);
}

TEST_CASE("a host without peers has no configuration during an outage of the "
          "platform")
{
  World world;
  world.settings_.faults_ = false;
  world.settings_.hosts_ = 1;
  world.settings_.pollers_ = 1;
  world.platformDownUntil_ = absl::InfiniteFuture();
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Minutes(1));
  CHECK(config::RevisionOf(world.hosts_[0].state_) == 0);
}

TEST_CASE("an edit that changes nothing creates no revision")
{
  World world;
  world.settings_.faults_ = false;
  StartWorld(world);
  RunUntil(world, world.now_ + absl::Seconds(1));
  const std::string text =
    "limits:\n  owner: on-call\n  values: {max_loading: 3}\n";
  for (const std::string id : { "first", "again" }) {
    config::EditRequested edit{ id, id, { { "limits", text, 0 } } };
    world.edits_[id].edit_ = edit;
    DeliverAfter(world, absl::ZeroDuration(), 0, edit);
    RunUntil(world, world.now_ + absl::Seconds(5));
    REQUIRE(world.edits_[id].answered_);
    CHECK(world.edits_[id].revision_ == 1);
  }
}

TEST_CASE("a small edit of a long text changes few chunks")
{
  std::string text = "workspaces:\n  owner: desk\n  entries:\n";
  for (int i = 0; i < 42000; ++i) {
    absl::StrAppend(&text, "    w", i, ": {max_running: 32, share: 1.5}\n");
  }
  const auto before = config::SplitIntoChunks(text);
  CHECK(absl::StrJoin(before, "") == text);
  for (const auto& chunk : before) {
    CHECK(chunk.size() <= config::kMaxChunkBytes);
  }
  text.insert(text.size() / 2, "    # a remark\n");
  const std::set<std::string> old(before.begin(), before.end());
  const auto after = config::SplitIntoChunks(text);
  const auto changed =
    std::count_if(after.begin(), after.end(), [&](const auto& aChunk) {
      return old.count(aChunk) == 0;
    });
  CHECK(before.size() > 15);
  CHECK(changed <= 2);
}

TEST_CASE("a head is unchanged after formatting and parsing")
{
  config::Head head;
  head.revision_ = 9;
  head.cleanups_ = 2;
  head.sections_ = { { "limits", "on-call", 9, { "ab", "cd" } } };
  head.history_ = { { 9, "id", "an \xff author", 12, { "limits" } } };
  head.retired_ = { { "ef", 7 } };
  const auto read = config::ParseHead(config::FormatHead(head));
  REQUIRE(read);
  CHECK(read->revision_ == 9);
  CHECK(read->cleanups_ == 2);
  CHECK(read->sections_[0].chunks_ == head.sections_[0].chunks_);
  CHECK(read->history_[0].sections_ == head.history_[0].sections_);
  CHECK(read->retired_[0].digest_ == "ef");
  CHECK_FALSE(config::ParseHead("{}"));
  CHECK_FALSE(config::ParseHead("[1]"));
  CHECK_FALSE(config::ParseHead("x"));
  CHECK_FALSE(config::ParseHead(R"({"revision":-1})"));
}
