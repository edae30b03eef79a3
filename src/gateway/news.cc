#include "gateway/news.h"

#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "core/json.h"

namespace lycheeplank::gateway {

namespace {

using json::CountOf;
using json::FlagOf;
using json::Json;
using json::ListOf;
using json::ParseJson;
using json::TextOf;

// Positions in a change of a cache store.
constexpr std::size_t kAdded = 0;
constexpr std::size_t kScope = 1;
constexpr std::size_t kPart = 2;
constexpr std::size_t kTokens = 3;
constexpr std::size_t kChangeFields = 4;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

replica::Item
ReadItem(const Json& aJson)
{
  replica::Item item;
  item.key_ = TextOf(aJson, "key");
  item.value_ = TextOf(aJson, "value");
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

// Reads the parts of one scope: names and tokens by turns.
void
ReadHeld(const std::string& aScope,
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

StoreNews
ReadStore(const Json& aJson)
{
  StoreNews news;
  news.store_ = TextOf(aJson, "store");
  news.lost_ = FlagOf(aJson, "lost");
  news.whole_ = FlagOf(aJson, "whole");
  news.epoch_ = CountOf(aJson, "epoch");
  news.next_ = CountOf(aJson, "next");
  for (const auto& json : ListOf(aJson, "changes")) {
    if (auto change = ReadChange(json)) {
      news.changes_.push_back(std::move(*change));
    }
  }
  if (const auto* held = json::Member(aJson, "held");
      held != nullptr && held->is_object()) {
    for (const auto& [scope, parts] : held->items()) {
      ReadHeld(scope, parts, news.changes_);
    }
  }
  return news;
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
ReadRow(const Json& aJson, News& aNews)
{
  if (!aJson.is_object()) {
    return;
  }
  if (aJson.contains("key") && CountOf(aJson, "revision") != 0) {
    aNews.items_.push_back(ReadItem(aJson));
  } else if (aJson.contains("store")) {
    aNews.stores_.push_back(ReadStore(aJson));
  } else if (auto notice = ReadNotice(aJson)) {
    aNews.notices_.push_back(std::move(*notice));
  }
}

} // namespace

std::string
WriteRow(const replica::Item& aItem)
{
  return Dump({ { "key", aItem.key_ },
                { "value", aItem.value_ },
                { "era", aItem.era_ },
                { "revision", aItem.revision_ },
                { "created", aItem.created_ },
                { "deleted", aItem.deleted_ },
                { "age_ms", absl::ToInt64Milliseconds(aItem.age_) } });
}

std::string
WriteRow(const StoreNews& aNews)
{
  Json changes = Json::array();
  // All that a store holds is some thousand parts of a few scopes; hosts that
  // start together each get it from one relay.
  Json held = Json::object();
  for (const auto& change : aNews.changes_) {
    if (aNews.whole_) {
      auto& parts = held[change.scope_];
      parts.push_back(change.part_);
      parts.push_back(change.tokens_);
    } else {
      changes.push_back(Json::array(
        { change.added_, change.scope_, change.part_, change.tokens_ }));
    }
  }
  return Dump({ { "store", aNews.store_ },
                { "lost", aNews.lost_ },
                { "whole", aNews.whole_ },
                { "epoch", aNews.epoch_ },
                { "next", aNews.next_ },
                { "held", std::move(held) },
                { "changes", std::move(changes) } });
}

std::string
WriteRow(const Notice& aNotice)
{
  const auto kind = core::NameOf(kNoticeKinds, aNotice.kind_);
  return Dump({ { "notice", std::string(kind) },
                { "name", aNotice.name_ },
                { "model", aNotice.model_ },
                { "version", aNotice.version_ },
                { "until_ms", absl::ToInt64Milliseconds(aNotice.until_) },
                { "born_ms", aNotice.bornMs_ } });
}

std::string
WriteNews(std::uint64_t aFeed,
          std::uint64_t aNext,
          const Source& aSource,
          const std::string& aRows)
{
  Json heard = Json::object();
  for (const auto& [store, age] : aSource.heard_) {
    heard[store] = absl::ToInt64Milliseconds(age);
  }
  auto text = Dump({ { "feed", aFeed },
                     { "next", aNext },
                     { "direct", aSource.direct_ },
                     { "reachable", aSource.reachable_ },
                     { "era", aSource.era_ },
                     { "clock_ms", aSource.clockMs_ },
                     { "heard_ms", std::move(heard) } });
  text.pop_back();
  return absl::StrCat(text, ",\"rows\":[", aRows, "]}");
}

absl::optional<News>
ReadNews(const std::string& aText)
{
  const auto json = ParseJson(aText);
  if (!json.is_object() || CountOf(json, "feed") == 0) {
    return absl::nullopt;
  }
  News news;
  news.feed_ = CountOf(json, "feed");
  news.next_ = CountOf(json, "next");
  news.source_.direct_ = FlagOf(json, "direct");
  news.source_.reachable_ = FlagOf(json, "reachable");
  news.source_.era_ = CountOf(json, "era");
  news.source_.clockMs_ = static_cast<std::int64_t>(CountOf(json, "clock_ms"));
  if (const auto* heard = json::Member(json, "heard_ms");
      heard != nullptr && heard->is_object()) {
    for (const auto& [store, age] : heard->items()) {
      if (age.is_number_unsigned()) {
        news.source_.heard_[store] =
          absl::Milliseconds(age.get<std::int64_t>());
      }
    }
  }
  for (const auto& row : ListOf(json, "rows")) {
    ReadRow(row, news);
  }
  return news;
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
