#include "gateway/peer-updates.h"

#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "core/compress.h"
#include "core/json.h"

namespace lycheeplank::gateway {

namespace {

using json::CountOf;
using json::FlagOf;
using json::Json;
using json::ListOf;
using json::ParseJson;
using json::TextOf;

// Array indexes of the fields in a change of a cache store.
constexpr std::size_t kAdded = 0;
constexpr std::size_t kScope = 1;
constexpr std::size_t kPart = 2;
constexpr std::size_t kTokens = 3;
constexpr std::size_t kChangeFields = 4;

// A relay sends each value to dozens of hosts, so large ones, mostly
// configurations, are compressed.
constexpr std::size_t kCompressBytes = 4096;
constexpr std::size_t kMaxValueBytes = 16U << 20U;
// Limit of a decompressed update. A snapshot of 3,000 targets has 1.3 MB.
constexpr std::size_t kMaxUpdateBytes = 32U << 20U;

std::string
DumpJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::optional<std::string>
ReadValue(const Json& aJson)
{
  const auto* compressed = json::Member(aJson, "value_deflate");
  if (compressed == nullptr) {
    return TextOf(aJson, "value");
  }
  std::string data;
  if (!compressed->is_string() ||
      !absl::Base64Unescape(compressed->get_ref<const std::string&>(), &data)) {
    return absl::nullopt;
  }
  return core::Decompress(data, kMaxValueBytes);
}

absl::optional<replica::Item>
ReadItem(const Json& aJson)
{
  auto value = ReadValue(aJson);
  if (!value) {
    return absl::nullopt;
  }
  replica::Item item;
  item.key_ = TextOf(aJson, "key");
  item.value_ = std::move(*value);
  item.revision_ = CountOf(aJson, "revision");
  item.created_ = CountOf(aJson, "created");
  item.deleted_ = FlagOf(aJson, "deleted");
  item.era_ = CountOf(aJson, "era");
  item.age_ =
    absl::Milliseconds(static_cast<std::int64_t>(CountOf(aJson, "age_ms")));
  return item;
}

absl::optional<cache_index::Change>
ReadChange(const Json& aJson)
{
  if (!aJson.is_array() || aJson.size() != kChangeFields ||
      !aJson[kAdded].is_boolean() || !aJson[kScope].is_string() ||
      !aJson[kPart].is_string() || !aJson[kTokens].is_number_unsigned()) {
    return absl::nullopt;
  }
  return cache_index::Change{ aJson[kAdded].get<bool>(),
                              aJson[kScope].get<std::string>(),
                              aJson[kPart].get<std::string>(),
                              aJson[kTokens].get<std::uint32_t>() };
}

// Reads the parts of one scope, an array in which each part's name is followed
// by its number of tokens.
void
ReadHeldParts(const std::string& aScope,
              const Json& aParts,
              std::vector<cache_index::Change>& aHeld)
{
  if (!aParts.is_array()) {
    return;
  }
  for (std::size_t i = 0; i + 1 < aParts.size(); i += 2) {
    if (aParts[i].is_string() && aParts[i + 1].is_number_unsigned()) {
      aHeld.push_back({ true,
                        aScope,
                        aParts[i].get<std::string>(),
                        aParts[i + 1].get<std::uint32_t>() });
    }
  }
}

StoreUpdate
ReadStoreUpdate(const Json& aJson)
{
  StoreUpdate update;
  update.store_ = TextOf(aJson, "store");
  update.unreachable_ = FlagOf(aJson, "lost");
  update.isSnapshot_ = FlagOf(aJson, "whole");
  update.epoch_ = CountOf(aJson, "epoch");
  update.next_ = CountOf(aJson, "next");
  for (const auto& json : ListOf(aJson, "changes")) {
    if (auto change = ReadChange(json)) {
      update.changes_.push_back(std::move(*change));
    }
  }
  if (const auto* held = json::Member(aJson, "held");
      held != nullptr && held->is_object()) {
    for (const auto& [scope, parts] : held->items()) {
      ReadHeldParts(scope, parts, update.changes_);
    }
  }
  return update;
}

absl::optional<Notice>
ReadNotice(const Json& aJson)
{
  const auto kind = core::ValueOf(kNoticeKinds, TextOf(aJson, "notice"));
  if (!kind) {
    return absl::nullopt;
  }
  const auto until = static_cast<std::int64_t>(CountOf(aJson, "until_ms"));
  return Notice{ *kind,
                 TextOf(aJson, "name"),
                 TextOf(aJson, "model"),
                 CountOf(aJson, "version"),
                 absl::Milliseconds(until),
                 static_cast<std::int64_t>(CountOf(aJson, "born_ms")) };
}

void
ReadRow(const Json& aJson, PeerUpdate& aUpdate)
{
  if (!aJson.is_object()) {
    return;
  }
  if (aJson.contains("key") && CountOf(aJson, "revision") != 0) {
    if (auto item = ReadItem(aJson)) {
      aUpdate.items_.push_back(std::move(*item));
    }
  } else if (aJson.contains("store")) {
    aUpdate.stores_.push_back(ReadStoreUpdate(aJson));
  } else if (auto notice = ReadNotice(aJson)) {
    aUpdate.notices_.push_back(std::move(*notice));
  }
}

} // namespace

std::string
WriteRow(const replica::Item& aItem)
{
  const bool isLarge = aItem.value_.size() >= kCompressBytes;
  auto value = isLarge ? Json(absl::Base64Escape(core::Compress(aItem.value_)))
                       : Json(aItem.value_);
  return DumpJson({ { "key", aItem.key_ },
                    { isLarge ? "value_deflate" : "value", std::move(value) },
                    { "era", aItem.era_ },
                    { "revision", aItem.revision_ },
                    { "created", aItem.created_ },
                    { "deleted", aItem.deleted_ },
                    { "age_ms", absl::ToInt64Milliseconds(aItem.age_) } });
}

std::string
WriteRow(const StoreUpdate& aUpdate)
{
  Json changes = Json::array();
  // A snapshot has some thousand parts of a few scopes, so each scope is
  // written once: many hosts that start together get the snapshot from one
  // relay.
  Json held = Json::object();
  for (const auto& change : aUpdate.changes_) {
    if (aUpdate.isSnapshot_) {
      auto& parts = held[change.scope_];
      parts.push_back(change.part_);
      parts.push_back(change.tokens_);
    } else {
      changes.push_back(Json::array(
        { change.added_, change.scope_, change.part_, change.tokens_ }));
    }
  }
  return DumpJson({ { "store", aUpdate.store_ },
                    { "lost", aUpdate.unreachable_ },
                    { "whole", aUpdate.isSnapshot_ },
                    { "epoch", aUpdate.epoch_ },
                    { "next", aUpdate.next_ },
                    { "held", std::move(held) },
                    { "changes", std::move(changes) } });
}

std::string
WriteRow(const Notice& aNotice)
{
  const auto kind = core::NameOf(kNoticeKinds, aNotice.kind_);
  return DumpJson({ { "notice", std::string(kind) },
                    { "name", aNotice.name_ },
                    { "model", aNotice.model_ },
                    { "version", aNotice.version_ },
                    { "until_ms", absl::ToInt64Milliseconds(aNotice.pause_) },
                    { "born_ms", aNotice.startedAtMs_ } });
}

std::string
WritePeerUpdate(std::uint64_t aFeed,
                std::uint64_t aNext,
                const SenderStatus& aSender,
                const std::string& aRows,
                std::uint64_t aUrgent)
{
  Json heard = Json::object();
  for (const auto& [store, age] : aSender.cacheStoreAges_) {
    heard[store] = absl::ToInt64Milliseconds(age);
  }
  Json head{ { "feed", aFeed },
             { "next", aNext },
             { "urgent", aUrgent },
             { "direct", aSender.isDirect_ },
             { "forwards", aSender.forwards_ },
             { "reachable", aSender.storeReachable_ },
             { "more", aSender.hasMoreRows_ },
             { "era", aSender.era_ },
             { "clock_ms", aSender.clockMs_ },
             { "heard_ms", std::move(heard) } };
  if (aSender.itemsAge_ != absl::InfiniteDuration()) {
    head["items_age_ms"] = absl::ToInt64Milliseconds(
      absl::Ceil(aSender.itemsAge_, absl::Milliseconds(1)));
  }
  if (aSender.knownTime_ > absl::ZeroDuration()) {
    head["known_ms"] = absl::ToInt64Milliseconds(aSender.knownTime_);
  }
  auto text = DumpJson(head);
  text.pop_back();
  return absl::StrCat(text, ",\"rows\":[", aRows, "]}");
}

absl::optional<PeerUpdate>
ReadPeerUpdate(const std::string& aText)
{
  const auto json = ParseJson(aText);
  if (!json.is_object() || CountOf(json, "feed") == 0) {
    return absl::nullopt;
  }
  PeerUpdate update;
  update.feed_ = CountOf(json, "feed");
  update.next_ = CountOf(json, "next");
  update.urgent_ = CountOf(json, "urgent");
  update.sender_.isDirect_ = FlagOf(json, "direct");
  update.sender_.forwards_ = FlagOf(json, "forwards");
  update.sender_.storeReachable_ = FlagOf(json, "reachable");
  update.sender_.hasMoreRows_ = FlagOf(json, "more");
  update.sender_.era_ = CountOf(json, "era");
  update.sender_.clockMs_ =
    static_cast<std::int64_t>(CountOf(json, "clock_ms"));
  if (const auto* age = json::Member(json, "items_age_ms");
      age != nullptr && age->is_number_unsigned()) {
    update.sender_.itemsAge_ = absl::Milliseconds(age->get<std::int64_t>());
  }
  if (const auto* known = json::Member(json, "known_ms");
      known != nullptr && known->is_number_unsigned()) {
    update.sender_.knownTime_ = absl::Milliseconds(known->get<std::int64_t>());
  }
  if (const auto* heard = json::Member(json, "heard_ms");
      heard != nullptr && heard->is_object()) {
    for (const auto& [store, age] : heard->items()) {
      if (age.is_number_unsigned()) {
        update.sender_.cacheStoreAges_[store] =
          absl::Milliseconds(age.get<std::int64_t>());
      }
    }
  }
  for (const auto& row : ListOf(json, "rows")) {
    ReadRow(row, update);
  }
  return update;
}

absl::optional<PeerUpdate>
ReadPackedPeerUpdate(const std::string& aText)
{
  // Only text that isn't compressed begins with a brace.
  if (absl::StartsWith(aText, "{")) {
    return ReadPeerUpdate(aText);
  }
  const auto text = core::Decompress(aText, kMaxUpdateBytes);
  return text ? ReadPeerUpdate(*text) : absl::nullopt;
}

std::string
WriteNotices(const std::vector<Notice>& aNotices)
{
  const auto rows =
    absl::StrJoin(aNotices, ",", [](std::string* aText, const auto& aNotice) {
      absl::StrAppend(aText, WriteRow(aNotice));
    });
  return absl::StrCat("{\"notices\":[", rows, "]}");
}

std::vector<Notice>
ReadNotices(const std::string& aText)
{
  std::vector<Notice> notices;
  const auto json = ParseJson(aText);
  for (const auto& row : ListOf(json, "notices")) {
    if (auto notice = ReadNotice(row)) {
      notices.push_back(std::move(*notice));
    }
  }
  return notices;
}

} // namespace lycheeplank::gateway
