#include "lycheeplank/rollout.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::rollout {

namespace {

using Json = nlohmann::json;

// Parses JSON without exceptions; the result of malformed text is discarded.
Json
Parse(absl::string_view aText)
{
  return Json::parse(aText.begin(), aText.end(), nullptr, false);
}

// Returns a string field, or an empty string if it is missing or of another
// type.
std::string
TextField(const Json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

// Returns an unsigned number field, or 0 if it is missing or of another type.
std::uint32_t
NumberField(const Json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<std::uint32_t>()
           : 0;
}

} // namespace

std::string
RecordKey(absl::string_view aModel)
{
  return absl::StrCat(kRecordPrefix, aModel);
}

std::uint32_t
PartitionOf(absl::string_view aModel)
{
  return static_cast<std::uint32_t>(core::StableHash(aModel) % kPartitionCount);
}

std::string
FormatRecord(const Record& aRecord)
{
  const auto state = core::NameOf(kRolloutStates, aRecord.state_);
  return Json{
    { "model", aRecord.model_ },
    { "version", aRecord.version_ },
    { "state", std::string(state.data(), state.size()) },
    { "done", aRecord.doneTargets_ },
    { "total", aRecord.totalTargets_ },
    { "detail", aRecord.detail_ }
  }.dump();
}

absl::optional<Record>
ParseRecord(absl::string_view aText)
{
  const Json json = Parse(aText);
  if (!json.is_object()) {
    return absl::nullopt;
  }
  const auto state = core::ValueOf(kRolloutStates, TextField(json, "state"));
  Record record;
  record.model_ = TextField(json, "model");
  record.version_ = TextField(json, "version");
  if (!state || record.model_.empty() || record.version_.empty()) {
    return absl::nullopt;
  }
  record.state_ = *state;
  record.doneTargets_ = NumberField(json, "done");
  record.totalTargets_ = NumberField(json, "total");
  record.detail_ = TextField(json, "detail");
  return record;
}

std::string
FormatSlots(const std::vector<Slot>& aSlots)
{
  Json json = Json::array();
  for (const auto& slot : aSlots) {
    json.push_back({ { "target", slot.target_ }, { "model", slot.model_ } });
  }
  return json.dump();
}

absl::optional<std::vector<Slot>>
ParseSlots(absl::string_view aText)
{
  std::vector<Slot> slots;
  if (aText.empty()) {
    return slots;
  }
  const Json json = Parse(aText);
  if (!json.is_array()) {
    return absl::nullopt;
  }
  for (const auto& item : json) {
    if (!item.is_object()) {
      return absl::nullopt;
    }
    slots.push_back({ TextField(item, "target"), TextField(item, "model") });
  }
  return slots;
}

} // namespace lycheeplank::rollout
