#include <algorithm>

#include "core/json.h"
#include "lycheeplank/poison.h"

// The wire format of the messages between hosts: JSON after two bytes with
// which no other datagram begins.
namespace lycheeplank::poison {

namespace {

constexpr absl::string_view kMarker("\0p", 2);

// Writes and reads times as ages.
struct Clock
{
  absl::Time now_;

  std::int64_t Write(absl::Time aAt) const
  {
    return absl::ToInt64Milliseconds(now_ - aAt);
  }
  absl::Time Read(const json::Json& aRow, const char* aName) const
  {
    return now_ - absl::Milliseconds(json::NumberOf(aRow, aName));
  }
};

json::Json
WriteStart(const Start& aStart)
{
  return { { "target", aStart.target_ }, { "started", aStart.startedAtMs_ } };
}

Start
ReadStart(const json::Json& aRow)
{
  return { json::TextOf(aRow, "target"),
           static_cast<std::int64_t>(json::NumberOf(aRow, "started")) };
}

Traits
ReadTraits(const json::Json& aRow)
{
  Traits traits;
  for (const auto& part : json::ListOf(aRow, "parts")) {
    if (part.is_string() && traits.size() < kMaxTraits) {
      traits.push_back(part.get<std::string>());
    }
  }
  return traits;
}

json::Json
WriteLoss(const Loss& aLoss, const Clock& aClock)
{
  auto row = WriteStart(aLoss.start_);
  row["request"] = aLoss.request_;
  row["group"] = aLoss.group_;
  row["parts"] = aLoss.traits_;
  row["age_ms"] = aClock.Write(aLoss.at_);
  return row;
}

json::Json
WriteBlock(const Block& aBlock, const Clock& aClock)
{
  return { { "parts", aBlock.traits_ },
           { "crashes", aBlock.crashes_ },
           { "first_age_ms", aClock.Write(aBlock.firstCrashAt_) },
           { "last_age_ms", aClock.Write(aBlock.lastCrashAt_) },
           { "surprise", aBlock.surprise_ } };
}

} // namespace

std::string
WriteMessage(const Message& aMessage, absl::Time aNow)
{
  const Clock clock{ aNow };
  auto losses = json::Json::array();
  for (const auto& loss : aMessage.losses_) {
    losses.push_back(WriteLoss(loss, clock));
  }
  auto begins = json::Json::array();
  for (const auto& begin : aMessage.begins_) {
    begins.push_back(
      { { "part", begin.trait_ }, { "age_ms", clock.Write(begin.at_) } });
  }
  auto sightings = json::Json::array();
  for (const auto& sighting : aMessage.sightings_) {
    auto row = WriteStart(sighting.start_);
    row["age_ms"] = clock.Write(sighting.at_);
    sightings.push_back(std::move(row));
  }
  auto blocks = json::Json::array();
  for (const auto& block : aMessage.blocks_) {
    blocks.push_back(WriteBlock(block, clock));
  }
  auto trials = json::Json::array();
  for (const auto& trial : aMessage.trials_) {
    trials.push_back(
      { { "part", trial.trait_ }, { "age_ms", clock.Write(trial.at_) } });
  }
  auto traffic = json::Json::array();
  for (const auto& [group, counts] : aMessage.traffic_) {
    traffic.push_back({ { "group", group },
                        { "begun", counts.begun_ },
                        { "lost", counts.lost_ },
                        { "age_ms", clock.Write(counts.at_) } });
  }
  const json::Json body{
    { "host", aMessage.sender_ },          { "asks", aMessage.asksForBlocks_ },
    { "losses", std::move(losses) },       { "begins", std::move(begins) },
    { "sightings", std::move(sightings) }, { "blocks", std::move(blocks) },
    { "traffic", std::move(traffic) },     { "trials", std::move(trials) }
  };
  return std::string(kMarker) +
         body.dump(-1, ' ', false, json::Json::error_handler_t::replace);
}

bool
IsMessage(absl::string_view aText)
{
  return aText.substr(0, kMarker.size()) == kMarker;
}

absl::optional<Message>
ReadMessage(absl::string_view aText, absl::Time aSentAt)
{
  if (!IsMessage(aText)) {
    return absl::nullopt;
  }
  const auto body = json::ParseJson(aText.substr(kMarker.size()));
  const Clock clock{ aSentAt };
  Message message;
  message.sender_ = json::TextOf(body, "host");
  if (message.sender_.empty()) {
    return absl::nullopt;
  }
  message.asksForBlocks_ = json::FlagOf(body, "asks");
  for (const auto& row : json::ListOf(body, "losses")) {
    message.losses_.push_back({ ReadStart(row),
                                json::CountOf(row, "request"),
                                message.sender_,
                                ReadTraits(row),
                                clock.Read(row, "age_ms"),
                                json::TextOf(row, "group") });
  }
  for (const auto& row : json::ListOf(body, "begins")) {
    message.begins_.push_back(
      { json::TextOf(row, "part"), clock.Read(row, "age_ms") });
  }
  for (const auto& row : json::ListOf(body, "trials")) {
    message.trials_.push_back(
      { json::TextOf(row, "part"), clock.Read(row, "age_ms") });
  }
  for (const auto& row : json::ListOf(body, "sightings")) {
    message.sightings_.push_back({ ReadStart(row), clock.Read(row, "age_ms") });
  }
  for (const auto& row : json::ListOf(body, "blocks")) {
    Block block{ ReadTraits(row),
                 json::CountOf(row, "crashes"),
                 clock.Read(row, "first_age_ms"),
                 clock.Read(row, "last_age_ms"),
                 json::NumberOf(row, "surprise") };
    if (!block.traits_.empty()) {
      message.blocks_.push_back(std::move(block));
    }
  }
  for (const auto& row : json::ListOf(body, "traffic")) {
    if (message.traffic_.size() < kMaxGroups) {
      message.traffic_[json::TextOf(row, "group")] = {
        std::max(0.0, json::NumberOf(row, "begun")),
        std::max(0.0, json::NumberOf(row, "lost")),
        clock.Read(row, "age_ms")
      };
    }
  }
  return message;
}

} // namespace lycheeplank::poison
