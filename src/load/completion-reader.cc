#include "load/completion-reader.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "standin/token-text.h"

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kEndMarker = "[DONE]";
constexpr absl::string_view kFinishLength = "length";

void
ReadToken(Completion& aCompletion, const std::string& aText, absl::Time aNow)
{
  if (aText.empty()) {
    return;
  }
  aCompletion.text_ += aText;
  ++aCompletion.tokens_;
  if (aCompletion.firstTokenAt_) {
    aCompletion.tokenGaps_.push_back(aNow - aCompletion.lastTokenAt_);
  } else {
    aCompletion.firstTokenAt_ = aNow;
  }
  aCompletion.lastTokenAt_ = aNow;
}

void
ReadChoice(Completion& aCompletion, const Json& aChoice, absl::Time aNow)
{
  ReadToken(aCompletion, aChoice.value("text", std::string()), aNow);
  if (const auto reason = aChoice.find("finish_reason");
      reason != aChoice.end() && reason->is_string()) {
    aCompletion.finishReason_ = reason->get<std::string>();
  }
}

void
ReadEvent(Completion& aCompletion,
          const net::SseParser::Event& aEvent,
          absl::Time aNow)
{
  if (!aEvent.id_.empty()) {
    aCompletion.lastEventId_ = aEvent.id_;
  }
  if (aEvent.data_ == kEndMarker) {
    aCompletion.done_ = true;
    return;
  }
  const Json data = Json::parse(aEvent.data_, nullptr, false);
  if (!data.is_object()) {
    return;
  }
  if (const auto error = data.find("error"); error != data.end()) {
    aCompletion.problem_ = ParseProblem(error->dump());
  } else if (const auto choices = data.find("choices");
             choices != data.end() && !choices->empty()) {
    ReadChoice(aCompletion, choices->front(), aNow);
  }
}

} // namespace

void
ParseChunk(Completion& aCompletion,
           net::SseParser& aParser,
           absl::string_view aChunk,
           absl::Time aNow)
{
  for (const auto& event : aParser.Feed(aChunk)) {
    ReadEvent(aCompletion, event, aNow);
  }
}

std::string
ExpectedText(absl::string_view aPrompt,
             absl::string_view aModel,
             absl::string_view aWeightVersion,
             std::uint32_t aTokens)
{
  const std::uint64_t seed = standin::TextSeed(aPrompt, aModel, aWeightVersion);
  std::string text;
  for (std::uint32_t index = 0; index < aTokens; ++index) {
    text += standin::TokenText(seed, index);
  }
  return text;
}

bool
IsCorrect(const Completion& aCompletion,
          absl::string_view aPrompt,
          absl::string_view aModel,
          const std::vector<std::string>& aWeightVersions,
          std::uint32_t aTokens)
{
  return aCompletion.done_ && aCompletion.finishReason_ == kFinishLength &&
         aCompletion.tokens_ == aTokens &&
         std::any_of(aWeightVersions.begin(),
                     aWeightVersions.end(),
                     [&](const std::string& aVersion) {
                       return aCompletion.text_ ==
                              ExpectedText(aPrompt, aModel, aVersion, aTokens);
                     });
}

} // namespace lycheeplank::load
