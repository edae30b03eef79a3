#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

#include "core/compress.h"
#include "gateway-world.h"
#include "lycheeplank/relay_polls.h"

namespace core = lycheeplank::core;
namespace entry_hosts = lycheeplank::entry_hosts;
namespace gateway = lycheeplank::gateway;
namespace relays = lycheeplank::relays;
namespace replica = lycheeplank::replica;

namespace {

constexpr int kHosts = 300;
constexpr int kDataCentres = 3;
constexpr int kTargets = 3002;
constexpr int kStores = 12;
// Links of the smallest hosts (10 Mbit/s), which may be relays as well.
constexpr double kLinkBytes = 1.25e6;
constexpr double kSlowReaderBytes = 70e3;
constexpr absl::Duration kLatency = absl::Milliseconds(1);
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(800);
constexpr absl::Duration kRetryPause = absl::Milliseconds(50);
// Period at which a target rewrites its entry, and at which changes arrive.
constexpr absl::Duration kRewritePeriod = absl::Milliseconds(1200);
constexpr absl::Duration kWatchPeriod = absl::Milliseconds(200);
constexpr absl::Duration kStorePeriod = absl::Milliseconds(120);
// Bound of the platform on the time until a configuration is in force.
constexpr absl::Duration kApplyTime = absl::Seconds(3);

// How relays of an earlier release answer: each host's answer is a text of its
// own, not compressed, with all rows in their order, and each rewritten entry
// is a row. FANOUT_FORMER=1 runs the tests so, which then have to fail.
bool
IsFormer()
{
  return std::getenv("FANOUT_FORMER") != nullptr;
}

std::string
EntryOf(int aTarget, int aSequence)
{
  return absl::StrCat(R"({"service":"chat","address":"10.4.)",
                      aTarget / 250,
                      ".",
                      aTarget % 250,
                      R"(:8000","zone":"dc)",
                      aTarget % kDataCentres,
                      R"(","state":"ready","version":"1","warmup-ms":0,)",
                      R"("batch-size":64,"born":)",
                      1790000000000 + std::int64_t{ aTarget } * 7919,
                      R"(,"models":[{"name":"m","version":3}],"sequence":)",
                      aSequence,
                      "}");
}

// Returns a configuration of some 300 KB.
std::string
ConfigOf(int aVersion)
{
  std::mt19937 random(static_cast<unsigned>(aVersion));
  std::string text = absl::StrCat(
    R"({"version":)", aVersion, R"(,"routes":[],"services":[],"tenants":[)");
  for (int i = 0; i < 1400; ++i) {
    absl::StrAppend(&text,
                    i == 0 ? "" : ",",
                    R"({"name":"workspace-)",
                    i,
                    R"(","priority":)",
                    random() % 3,
                    R"(,"api-keys":[")",
                    absl::Hex(random()),
                    absl::Hex(random()),
                    absl::Hex(random()),
                    absl::Hex(random()),
                    R"("],"rate-limit":{"requests-per-s":)",
                    random() % 1000,
                    R"(,"burst":)",
                    random() % 100,
                    "},\"description\":\"A workspace of this deployment\"}");
  }
  return text + "]}";
}

// Simulates the polls of all hosts by events, without a network. The rows come
// from a real host that receives the changes of the key-value service.
class Simulation
{
public:
  // An answer that is being sent or has been received.
  struct Answer
  {
    std::shared_ptr<const std::string> text_;
    std::vector<std::string> rows_;
    std::set<int> configs_;
    relays::Position position_;
  };

  struct Node
  {
    std::string name_;
    std::string dataCentre_;
    relays::Feed feed_;
    relays::Polls polls_;
    // By number of the poll: the caller, and the number of its call.
    std::map<std::uint64_t, std::pair<int, std::uint64_t>> callers_;
    bool isRelay_ = false;
    bool isForwarder_ = false;
    std::vector<int> sources_;
    bool passesOn_ = false;
    bool failed_ = false;
    bool isSlow_ = false;
    absl::Time linkFreeAt_ = absl::UnixEpoch();
    absl::Time wakesAt_ = absl::InfiniteFuture();
    double sent_ = 0;
    std::size_t plainHeld_ = 0;
    relays::HeldAnswers held_;
    std::size_t mostHeld_ = 0;
    Answer snapshot_;
    absl::Time snapshotAt_ = absl::InfinitePast();
    // As a caller: positions by source, the present call and its failures.
    std::map<int, relays::Position> positions_;
    std::uint64_t call_ = 0;
    std::size_t failures_ = 0;
    std::map<int, absl::Time> configs_;
  };

  Simulation(double aSlowShare, unsigned aSeed)
    : adapter_(lycheeplank::platform::MakeAdapter())
    , source_(loop_, {}, adapter_, open("/dev/null", O_WRONLY))
    , random_(aSeed)
  {
    source_.role_ = gateway::Role::Direct;
    for (int i = 0; i < kHosts; ++i) {
      Node node;
      node.name_ = absl::StrCat("host-", i);
      node.dataCentre_ = absl::StrCat("dc", i % kDataCentres);
      const double cores = i % 7 == 0 ? 0.5 : 0.12;
      hosts_[node.name_] = { { node.name_,
                               node.dataCentre_,
                               absl::StrCat("10.0.0.1:", i),
                               absl::StrCat("10.0.0.2:", i),
                               cores,
                               false } };
      index_[node.name_] = i;
      relays::Restart(node.feed_, static_cast<std::uint64_t>(i) + 1);
      node.isSlow_ =
        std::uniform_real_distribution<>(0, 1)(random_) < aSlowShare;
      nodes_.push_back(std::move(node));
    }
    for (auto& node : nodes_) {
      node.isRelay_ = relays::IsRelay(hosts_, node.name_);
      node.passesOn_ = node.isRelay_;
      node.isSlow_ = node.isSlow_ && !node.isRelay_;
      node.isForwarder_ =
        !IsFormer() && relays::IsForwarder(hosts_, node.name_);
      for (const auto& name :
           relays::SourcesOf(hosts_, node.dataCentre_, node.name_)) {
        if (!IsFormer() || !relays::IsForwarder(hosts_, name)) {
          node.sources_.push_back(index_.at(name));
        }
      }
    }
    for (int i = 0; i < kTargets; ++i) {
      Apply(absl::StrCat("servers/t", i), EntryOf(i, 0));
    }
    Apply("op/config", ConfigOf(1));
    TakeRows();
    for (int i = 0; i < kHosts; ++i) {
      if (!nodes_[i].passesOn_) {
        At(now_, [this, i] { Poll(i); });
      }
    }
    At(now_, [this] { Watch(); });
    At(now_, [this] { ChangeStores(); });
  }

  void RunUntil(absl::Duration aTime)
  {
    const auto end = absl::UnixEpoch() + aTime;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  void At(absl::Time aTime, std::function<void()> aAction)
  {
    events_.emplace(aTime, std::move(aAction));
  }

  void PublishConfig(int aVersion)
  {
    Apply("op/config", ConfigOf(aVersion));
    Distribute();
    publishedAt_ = now_;
  }

  // Lets the first relay of each data centre fail.
  void FailRelays()
  {
    for (int i = 0; i < kDataCentres; ++i) {
      const auto name = relays::RelaysOf(hosts_, absl::StrCat("dc", i)).front();
      nodes_[index_.at(name)].failed_ = true;
    }
  }

  // Returns the time until a configuration was in force on the last host.
  absl::Duration TimeInForce(int aVersion) const
  {
    auto last = absl::ZeroDuration();
    for (const auto& node : nodes_) {
      if (node.failed_ || node.isRelay_) {
        continue;
      }
      const auto found = node.configs_.find(aVersion);
      if (found == node.configs_.end()) {
        return absl::InfiniteDuration();
      }
      last = std::max(last, found->second - publishedAt_);
    }
    return last;
  }

  double MostSent() const
  {
    double most = 0;
    for (const auto& node : nodes_) {
      most = std::max(most, node.sent_);
    }
    return most;
  }

  std::size_t MostHeld() const
  {
    std::size_t most = 0;
    for (const auto& node : nodes_) {
      most = std::max(most, node.mostHeld_);
    }
    return most;
  }

  void ResetSent()
  {
    for (auto& node : nodes_) {
      node.sent_ = 0;
      node.mostHeld_ = 0;
    }
  }

private:
  struct NewRow
  {
    std::string text_;
    std::string key_;
    relays::Urgency urgency_;
    int config_ = 0;
  };

  void Apply(const std::string& aKey, const std::string& aText)
  {
    ++revision_;
    replica::Item item{ aKey, aText, revision_, 1 };
    gateway::ApplyItems(source_, { item }, "watch", gateway::Now());
    if (IsFormer() && aKey != "op/config") {
      former_.push_back({ gateway::WriteRow(item), "", {}, 0 });
    }
    if (aKey == "op/config") {
      ++config_;
      configRow_ = gateway::WriteRow(item);
    } else {
      entryRows_[aKey] = gateway::WriteRow(item);
    }
  }

  std::vector<NewRow> TakeRows()
  {
    std::vector<NewRow> rows;
    for (; sourceNext_ < relays::NextRow(source_.feed_); ++sourceNext_) {
      if (sourceNext_ < source_.feed_.first_) {
        continue;
      }
      const auto& row = source_.feed_.rows_[sourceNext_ - source_.feed_.first_];
      const bool isConfig = row.urgency_ == relays::Urgency::Urgent;
      if (row.text_.empty() || (IsFormer() && !isConfig)) {
        continue;
      }
      rows.push_back(
        { row.text_, row.key_, row.urgency_, isConfig ? config_ : 0 });
    }
    for (auto& row : former_) {
      rows.push_back(std::move(row));
    }
    former_.clear();
    return rows;
  }

  // Adds the newest rows to the feeds of all relays.
  void Distribute()
  {
    for (const auto& row : TakeRows()) {
      for (int i = 0; i < kHosts; ++i) {
        if (nodes_[i].isRelay_) {
          AddRow(i, row);
        }
      }
    }
  }

  void AddRow(int aNode, const NewRow& aRow)
  {
    auto& node = nodes_[aNode];
    if (aRow.config_ != 0) {
      configRows_[aRow.text_] = aRow.config_;
    }
    relays::AddRow(node.feed_, aRow.text_, aRow.key_, aRow.urgency_);
    relays::StartBatch(node.polls_, now_, false);
    Wake(aNode);
  }

  void Watch()
  {
    const auto share = absl::FDivDuration(kWatchPeriod, kRewritePeriod);
    std::bernoulli_distribution rewrites(share);
    for (int i = 0; i < kTargets; ++i) {
      if (rewrites(random_)) {
        Apply(absl::StrCat("servers/t", i), EntryOf(i, ++sequence_));
      }
    }
    Distribute();
    At(now_ + kWatchPeriod, [this] { Watch(); });
  }

  // Each cache store adds and drops some parts.
  void ChangeStores()
  {
    for (int store = 0; store < kStores; ++store) {
      gateway::StoreUpdate update{ absl::StrCat("store-", store) };
      update.epoch_ = 1;
      update.next_ = ++sequence_;
      for (int i = 0; i < 4; ++i) {
        update.changes_.push_back(
          { i % 2 == 0,
            "shared.m.3",
            absl::StrCat(absl::Hex(random_(), absl::kZeroPad16)),
            512 });
      }
      gateway::Publish(source_, update);
      if (IsFormer()) {
        former_.push_back({ gateway::WriteRow(update), "", {}, 0 });
      }
    }
    Distribute();
    At(now_ + kStorePeriod, [this] { ChangeStores(); });
  }

  void Poll(int aNode)
  {
    auto& node = nodes_[aNode];
    const int source = node.sources_[node.failures_ % node.sources_.size()];
    if (!nodes_[source].passesOn_) {
      // The forwarder has no state yet.
      At(now_ + kRetryPause, [this, aNode] { Poll(aNode); });
      return;
    }
    const auto call = ++node.call_;
    At(now_ + kLatency, [this, aNode, source, call] {
      auto& server = nodes_[source];
      auto position = nodes_[aNode].positions_[source];
      if (!IsFormer() && !position.urgent_) {
        position.urgent_ = 0;
      }
      const auto poll =
        relays::AddPoll(server.polls_, server.feed_, position, now_);
      server.callers_[poll] = { aNode, call };
      if (IsFormer() && relays::IsBehind(server.feed_, position)) {
        server.polls_.batchAt_ = now_;
      }
      Wake(source);
    });
    At(now_ + kPeerTimeout, [this, aNode, call, source] {
      auto& caller = nodes_[aNode];
      if (caller.call_ == call && nodes_[source].failed_) {
        ++caller.failures_;
        Poll(aNode);
      }
    });
  }

  void Wake(int aNode)
  {
    auto& node = nodes_[aNode];
    const auto due =
      std::max(now_, relays::NextDueTime(node.polls_, node.feed_));
    if (due < node.wakesAt_ && due != absl::InfiniteFuture()) {
      node.wakesAt_ = due;
      At(due, [this, aNode, due] {
        if (nodes_[aNode].wakesAt_ == due) {
          nodes_[aNode].wakesAt_ = absl::InfiniteFuture();
          AnswerPolls(aNode);
        }
      });
    }
  }

  void AnswerPolls(int aNode)
  {
    auto& node = nodes_[aNode];
    if (node.failed_) {
      return;
    }
    for (const auto& group :
         relays::TakeDuePolls(node.polls_, node.feed_, now_)) {
      const auto answer = AnswerFor(node, group.position_);
      for (const auto poll : group.polls_) {
        const auto caller = node.callers_.extract(poll).mapped();
        Send(aNode, caller.first, caller.second, answer);
      }
    }
    Wake(aNode);
  }

  Answer AnswerFor(Node& aNode, const relays::Position& aPosition)
  {
    const auto portion = relays::PortionFor(aNode.feed_, aPosition);
    if (!portion) {
      return SnapshotFor(aNode);
    }
    return MakeAnswer(aNode, portion->position_, portion->rows_);
  }

  Answer SnapshotFor(Node& aNode)
  {
    if (now_ - aNode.snapshotAt_ > absl::Milliseconds(400) ||
        !relays::IsKnown(aNode.feed_, aNode.snapshot_.position_)) {
      std::vector<std::string> rows{ configRow_ };
      for (const auto& [key, row] : entryRows_) {
        rows.push_back(row);
      }
      relays::Position position{ aNode.feed_.id_,
                                 relays::NextRow(aNode.feed_),
                                 {} };
      if (!IsFormer()) {
        position.urgent_ = position.next_;
      }
      aNode.snapshot_ = MakeAnswer(aNode, position, absl::StrJoin(rows, ","));
      // A forwarder knows the other items already.
      aNode.snapshot_.rows_ = { configRow_ };
      aNode.snapshot_.configs_ = { config_ };
      aNode.snapshotAt_ = now_;
    }
    return aNode.snapshot_;
  }

  Answer MakeAnswer(Node& aNode,
                    const relays::Position& aPosition,
                    const std::string& aRows)
  {
    Answer answer;
    answer.position_ = aPosition;
    for (const auto& [row, version] : configRows_) {
      if (aRows.find(row) != std::string::npos) {
        answer.configs_.insert(version);
      }
    }
    if (!aRows.empty()) {
      answer.rows_ = { aRows };
    }
    auto text = gateway::WritePeerUpdate(aPosition.feed_,
                                         aPosition.next_,
                                         {},
                                         aRows,
                                         aPosition.urgent_.value_or(0));
    if (!IsFormer()) {
      text = core::Compress(text);
    }
    answer.text_ = std::make_shared<const std::string>(std::move(text));
    aNode.held_.answers_.emplace_back(answer.text_);
    return answer;
  }

  void Send(int aNode, int aCaller, std::uint64_t aCall, const Answer& aAnswer)
  {
    auto& node = nodes_[aNode];
    const auto size = static_cast<double>(aAnswer.text_->size());
    node.sent_ += size;
    node.linkFreeAt_ =
      std::max(node.linkFreeAt_, now_) + absl::Seconds(size / kLinkBytes);
    auto arrivesAt = node.linkFreeAt_;
    if (nodes_[aCaller].isSlow_) {
      arrivesAt =
        std::max(arrivesAt, now_ + absl::Seconds(size / kSlowReaderBytes));
    }
    node.plainHeld_ += aAnswer.text_->size();
    node.mostHeld_ =
      std::max(node.mostHeld_,
               IsFormer() ? node.plainHeld_ : relays::HeldBytes(node.held_));
    At(arrivesAt + kLatency, [this, aNode, aCaller, aCall, aAnswer] {
      nodes_[aNode].plainHeld_ -= aAnswer.text_->size();
      OnAnswer(aNode, aCaller, aCall, aAnswer);
    });
  }

  void OnAnswer(int aSource,
                int aCaller,
                std::uint64_t aCall,
                const Answer& aAnswer)
  {
    auto& caller = nodes_[aCaller];
    if (caller.call_ != aCall || nodes_[aSource].failed_) {
      return;
    }
    ++caller.call_;
    caller.positions_[aSource] = aAnswer.position_;
    for (const int version : aAnswer.configs_) {
      caller.configs_.try_emplace(version, now_);
    }
    if (caller.isForwarder_) {
      caller.passesOn_ = true;
      for (const auto& rows : aAnswer.rows_) {
        const bool isConfig = !aAnswer.configs_.empty();
        AddRow(aCaller,
               { rows,
                 isConfig ? "op/config" : "",
                 isConfig ? relays::Urgency::Urgent : relays::Urgency::Normal,
                 isConfig ? *aAnswer.configs_.rbegin() : 0 });
      }
    }
    Poll(aCaller);
  }

  gateway::Loop loop_{ 1 };
  gateway::Adapter adapter_;
  gateway::Host source_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::UnixEpoch();
  std::multimap<absl::Time, std::function<void()>> events_;
  entry_hosts::Hosts hosts_;
  std::map<std::string, int> index_;
  std::vector<Node> nodes_;
  std::vector<NewRow> former_;
  std::uint64_t sourceNext_ = 1;
  std::uint64_t revision_ = 0;
  int sequence_ = 0;
  int config_ = 0;
  std::string configRow_;
  std::map<std::string, int> configRows_;
  std::map<std::string, std::string> entryRows_;
  absl::Time publishedAt_;
};

// Prints what a test has measured, for the commit that changes it.
void
Report(const std::string& aName,
       Simulation& aRun,
       double aSeconds,
       int aVersion)
{
  std::cout << aName << ": most sent " << aRun.MostSent() / aSeconds / 1e3
            << " kB/s, held " << aRun.MostHeld() / 1000
            << " kB, in force after "
            << absl::FormatDuration(aRun.TimeInForce(aVersion)) << "\n";
}

} // namespace

// Guards against relays that need more than the smallest link for the changes
// of 3,002 targets, and against a configuration that waits behind them.
TEST_CASE("a link of 10 Mbit/s serves the hosts of a large data centre")
{
  Simulation run(0.0, 1);
  run.RunUntil(absl::Seconds(6));
  run.ResetSent();
  run.RunUntil(absl::Seconds(10));
  CHECK(run.MostSent() / 4 < 0.4 * kLinkBytes);
  CHECK(run.MostHeld() < 1'000'000);
  run.PublishConfig(2);
  run.RunUntil(absl::Seconds(14));
  Report("steady", run, 8, 2);
  CHECK(run.TimeInForce(2) < kApplyTime);
}

// Guards against hosts that read slowly, for which a relay holds megabytes, and
// which learn a configuration late.
TEST_CASE("slow readers cost a relay little and get a configuration in time")
{
  Simulation run(0.1, 2);
  run.RunUntil(absl::Seconds(10));
  run.ResetSent();
  run.PublishConfig(2);
  run.RunUntil(absl::Seconds(16));
  Report("slow readers", run, 6, 2);
  CHECK(run.MostHeld() < relays::kMaxHeldBytes / 4);
  CHECK(run.TimeInForce(2) < kApplyTime);
}

// Guards against hosts that have an old configuration for seconds because their
// relay ends at the moment of the change.
TEST_CASE("a configuration reaches all hosts while their relay fails")
{
  Simulation run(0.0, 3);
  run.RunUntil(absl::Seconds(8));
  run.FailRelays();
  run.RunUntil(absl::Seconds(8.1));
  run.PublishConfig(2);
  run.RunUntil(absl::Seconds(14));
  Report("failed relay", run, 14, 2);
  CHECK(run.TimeInForce(2) < kApplyTime);
}

// Guards against snapshots for all hosts that start together that need more
// memory than a small host has, and more time than they wait.
TEST_CASE("hosts that start together share a relay's snapshot")
{
  Simulation run(0.0, 4);
  run.RunUntil(absl::Seconds(4));
  Report("start", run, 4, 1);
  CHECK(run.TimeInForce(1) < kApplyTime);
  Simulation slow(0.1, 4);
  slow.RunUntil(absl::Seconds(4));
  Report("start, slow readers", slow, 4, 1);
  CHECK(slow.MostHeld() < relays::kMaxHeldBytes / 4);
}
