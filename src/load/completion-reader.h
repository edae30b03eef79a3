#ifndef LYCHEEPLANK_LOAD_COMPLETION_READER_H
#define LYCHEEPLANK_LOAD_COMPLETION_READER_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "load/problem.h"
#include "lycheeplank/net.h"

namespace lycheeplank::load {

// What has come of a streamed completion, possibly over several connections.
struct Completion
{
  std::string text_;
  std::uint32_t tokens_ = 0;
  // Id of the last event, with which the stream can be resumed.
  std::string lastId_;
  std::string finishReason_;
  // The end mark has come.
  bool done_ = false;
  absl::optional<Problem> problem_;
  absl::optional<absl::Time> firstTokenAt_;
  absl::Time lastTokenAt_;
  std::vector<absl::Duration> tokenGaps_;
};

// Takes in a piece of a stream.
void
ReadPiece(Completion& aCompletion,
          net::SseParser& aParser,
          absl::string_view aPiece,
          absl::Time aNow);

// Returns the text that engines produce for a prompt.
std::string
ExpectedText(absl::string_view aPrompt,
             absl::string_view aModel,
             absl::string_view aWeightVersion,
             std::uint32_t aTokens);

// Whether the completion is whole and is the answer to the prompt under one of
// the weight versions.
bool
IsRight(const Completion& aCompletion,
        absl::string_view aPrompt,
        absl::string_view aModel,
        const std::vector<std::string>& aWeightVersions,
        std::uint32_t aTokens);

} // namespace lycheeplank::load

#endif
