#include "lycheeplank/config_sync.h"

#include <algorithm>

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::config {

namespace {

using Json = nlohmann::json;

// Minimum size of a chunk that ends at a line chosen by its hash.
constexpr std::size_t kMinChunkBytes = 16UL << 10U;
// One in this many lines, chosen by hash, ends a chunk of at least
// kMinChunkBytes.
constexpr std::uint64_t kLinesPerBoundary = 512;

Json
ToJson(const SectionHead& aSection)
{
  return { { "name", aSection.name_ },
           { "owner", aSection.owner_ },
           { "revision", aSection.revision_ },
           { "chunks", aSection.chunks_ } };
}

Json
ToJson(const Change& aChange)
{
  return { { "revision", aChange.revision_ },
           { "id", aChange.id_ },
           { "author", aChange.author_ },
           { "unix_ms", aChange.unixMs_ },
           { "sections", aChange.sections_ } };
}

Json
ToJson(const RetiredChunk& aChunk)
{
  return { { "digest", aChunk.digest_ }, { "unix_ms", aChunk.unixMs_ } };
}

template<typename Item>
Json
ListToJson(const std::vector<Item>& aItems)
{
  Json list = Json::array();
  for (const auto& item : aItems) {
    list.push_back(ToJson(item));
  }
  return list;
}

SectionHead
SectionFromJson(const Json& aJson)
{
  return { aJson.at("name").get<std::string>(),
           aJson.at("owner").get<std::string>(),
           aJson.at("revision").get<std::uint64_t>(),
           aJson.at("chunks").get<std::vector<std::string>>() };
}

Change
ChangeFromJson(const Json& aJson)
{
  return { aJson.at("revision").get<std::uint64_t>(),
           aJson.at("id").get<std::string>(),
           aJson.at("author").get<std::string>(),
           aJson.at("unix_ms").get<std::int64_t>(),
           aJson.at("sections").get<std::vector<std::string>>() };
}

RetiredChunk
RetiredChunkFromJson(const Json& aJson)
{
  return { aJson.at("digest").get<std::string>(),
           aJson.at("unix_ms").get<std::int64_t>() };
}

Head
HeadFromJson(const Json& aJson)
{
  Head head;
  head.revision_ = aJson.at("revision").get<std::uint64_t>();
  head.cleanups_ = aJson.at("cleanups").get<std::uint64_t>();
  for (const auto& item : aJson.at("sections")) {
    head.sections_.push_back(SectionFromJson(item));
  }
  for (const auto& item : aJson.at("history")) {
    head.history_.push_back(ChangeFromJson(item));
  }
  for (const auto& item : aJson.at("retired")) {
    head.retired_.push_back(RetiredChunkFromJson(item));
  }
  return head;
}

} // namespace

std::string
FormatHead(const Head& aHead)
{
  const Json json{ { "revision", aHead.revision_ },
                   { "cleanups", aHead.cleanups_ },
                   { "sections", ListToJson(aHead.sections_) },
                   { "history", ListToJson(aHead.history_) },
                   { "retired", ListToJson(aHead.retired_) } };
  // Author names are free text and may contain invalid UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::optional<Head>
ParseHead(absl::string_view aText)
{
  try {
    return HeadFromJson(Json::parse(aText.begin(), aText.end()));
  } catch (const Json::exception&) {
    return absl::nullopt;
  }
}

const SectionHead*
FindSection(const Head& aHead, absl::string_view aName)
{
  const auto found = std::find_if(
    aHead.sections_.begin(),
    aHead.sections_.end(),
    [&](const SectionHead& aSection) { return aSection.name_ == aName; });
  return found == aHead.sections_.end() ? nullptr : &*found;
}

std::vector<std::string>
SplitIntoChunks(absl::string_view aText)
{
  std::vector<std::string> chunks;
  std::string chunk;
  const auto finishChunk = [&] {
    if (!chunk.empty()) {
      chunks.push_back(std::move(chunk));
      chunk.clear();
    }
  };
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const std::size_t size = end == absl::string_view::npos
                               ? std::min(aText.size(), kMaxChunkBytes)
                               : std::min(end + 1, kMaxChunkBytes);
    const absl::string_view line = aText.substr(0, size);
    if (chunk.size() + size > kMaxChunkBytes) {
      finishChunk();
    }
    chunk.append(line.data(), line.size());
    aText.remove_prefix(size);
    if (chunk.size() >= kMinChunkBytes &&
        core::StableHash(line) % kLinesPerBoundary == 0) {
      finishChunk();
    }
  }
  finishChunk();
  return chunks;
}

} // namespace lycheeplank::config
