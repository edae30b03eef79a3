#include "gateway/poison-blocks.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <xxhash.h>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

using poison::BlockChange;
using poison::Change;

void
SendToAll(Host& aHost, const poison::Message& aMessage)
{
  const auto text = poison::WriteMessage(aMessage, Now());
  for (const auto& [name, host] : aHost.hosts_) {
    if (name != aHost.settings_.name_) {
      aHost.sendDatagram_(name, text);
    }
  }
}

// Sends a message to a random other host.
void
SendToAny(Host& aHost, const poison::Message& aMessage)
{
  if (aHost.hosts_.size() < 2) {
    return;
  }
  auto host = aHost.hosts_.begin();
  std::advance(host, aHost.random_() % aHost.hosts_.size());
  if (host->first == aHost.settings_.name_) {
    host =
      host == aHost.hosts_.begin() ? std::next(host) : aHost.hosts_.begin();
  }
  aHost.sendDatagram_(host->first, poison::WriteMessage(aMessage, Now()));
}

void
ApplyChanges(Host& aHost,
             const std::vector<BlockChange>& aChanges,
             absl::string_view aSource)
{
  bool isBlocking = false;
  for (const auto& [change, block] : aChanges) {
    isBlocking = isBlocking || change != Change::Ended;
    aHost.metrics_.Count("part_block_changes_total",
                         "change",
                         core::NameOf(poison::kChanges, change));
    aHost.log_.Write(Line("part_block")
                       .Text("change", core::NameOf(poison::kChanges, change))
                       .Text("parts", absl::StrJoin(block.traits_, ","))
                       .Number("crashes", block.crashes_)
                       .Age("first_crash_age_ms", Now() - block.firstCrashAt_)
                       .Age("last_crash_age_ms", Now() - block.lastCrashAt_)
                       .Number("surprise", block.surprise_)
                       .Text("source", aSource));
  }
  if (!isBlocking) {
    return;
  }
  // A request that ends removes its entry.
  const auto waiting = aHost.onBlock_;
  for (const auto& [request, check] : waiting) {
    check();
  }
}

} // namespace

std::string
FingerprintOf(const CallerRequest& aRequest,
              const http::RequestHead& aHead,
              absl::string_view aBody,
              absl::string_view aCaller)
{
  std::string text;
  // Lengths keep apart fields whose texts together are the same.
  const auto add = [&](absl::string_view aField) {
    absl::StrAppend(&text, aField.size(), ":", aField);
  };
  for (const absl::string_view field : { aCaller,
                                         absl::string_view(aHead.method_),
                                         absl::string_view(aRequest.host_),
                                         absl::string_view(aHead.target_),
                                         absl::string_view(aRequest.model_) }) {
    add(field);
  }
  for (const auto& part : aRequest.parts_) {
    add(part.id_);
  }
  add(aBody);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

poison::Traits
TraitsOf(const CallerRequest& aRequest, absl::string_view aFingerprint)
{
  poison::Traits traits{ poison::RequestTrait(aFingerprint) };
  const auto shared = std::min(aRequest.parts_.size(), poison::kMaxTraits);
  for (std::size_t i = 0; i + 1 < shared; ++i) {
    traits.push_back(
      absl::StrCat(aRequest.model_, "/", aRequest.parts_[i].id_));
  }
  std::sort(traits.begin(), traits.end());
  traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
  return traits;
}

void
NoteLoss(Host& aHost, const SentRequest& aRequest)
{
  const auto now = Now();
  const auto member = aHost.members_.find(aRequest.target_);
  // A target that leaves ends its connections, and a host that has been frozen
  // can't tell when they were lost.
  if (member == aHost.members_.end() ||
      member->second.target_.state_ != fleet::TargetState::Ready ||
      IsCatchingUp(aHost.stallDetector_, now)) {
    return;
  }
  poison::RecordLoss(aHost.poison_,
                     { aRequest.target_, aRequest.targetBornMs_ },
                     core::StableHash(aRequest.id_),
                     aRequest.traits_,
                     now,
                     poison::GroupOf(aRequest.service_, aRequest.route_));
  aHost.onLoss_();
}

void
NoteBegin(Host& aHost, const SentRequest& aRequest)
{
  poison::RecordBegin(
    aHost.poison_,
    aRequest.traits_,
    EarliestSendTime(aHost.stallDetector_, aRequest.sentAt_, Now()),
    poison::GroupOf(aRequest.service_, aRequest.route_));
}

void
NoteBytes(Host& aHost, const SentRequest& aRequest)
{
  poison::RecordBytes(
    aHost.poison_,
    aRequest.target_,
    aRequest.targetBornMs_,
    EarliestSendTime(aHost.stallDetector_, aRequest.sentAt_, Now()));
}

const poison::Block*
FindBlock(const Host& aHost, const poison::Traits& aTraits)
{
  return aHost.poison_.blocks_.empty()
           ? nullptr
           : poison::FindBlock(aHost.poison_, aTraits, Now());
}

poison::Delay
SendDelay(const Host& aHost, const poison::Traits& aTraits, bool aIsResend)
{
  return aHost.poison_.suspects_.empty()
           ? poison::Delay()
           : poison::SendDelay(aHost.poison_, aTraits, aIsResend, Now());
}

void
NoteSend(Host& aHost, const poison::Traits& aTraits)
{
  if (aHost.poison_.suspects_.empty()) {
    return;
  }
  if (const auto message = poison::RecordSend(aHost.poison_, aTraits, Now())) {
    SendToAll(aHost, *message);
  }
}

void
TellLosses(Host& aHost)
{
  if (const auto message = poison::TellLosses(aHost.poison_, Now())) {
    SendToAll(aHost, *message);
  }
}

void
ReceiveBlockMessage(Host& aHost, absl::string_view aText)
{
  const auto now = Now();
  const auto message = poison::ReadMessage(
    aText, EarliestSendTime(aHost.stallDetector_, absl::InfinitePast(), now));
  if (!message) {
    aHost.log_.Write(Line("message_unreadable").Number("bytes", aText.size()));
    return;
  }
  if (message->sender_ == aHost.settings_.name_) {
    return;
  }
  const auto step = poison::Receive(aHost.poison_, *message, now);
  if (step.reply_) {
    aHost.sendDatagram_(message->sender_,
                        poison::WriteMessage(*step.reply_, now));
  }
  ApplyChanges(aHost, step.changes_, message->sender_);
}

void
TickBlocks(Host& aHost)
{
  auto& state = aHost.poison_;
  state.hosts_ = std::max<std::size_t>(1, aHost.hosts_.size());
  const auto step = poison::Tick(state, Now());
  if (step.toAll_) {
    SendToAll(aHost, *step.toAll_);
  }
  if (step.toAny_) {
    SendToAny(aHost, *step.toAny_);
  }
  ApplyChanges(aHost, step.changes_, "evidence");
}

} // namespace lycheeplank::gateway
