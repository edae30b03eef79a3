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

// The part of a streamed completion received so far, possibly over several
// connections.
struct Completion
{
  std::string text_;
  std::uint32_t tokens_ = 0;
  // ID of the last event, from which the stream can be resumed.
  std::string lastEventId_;
  std::string finishReason_;
  // Whether the end marker was received.
  bool done_ = false;
  absl::optional<Problem> problem_;
  absl::optional<absl::Time> firstTokenAt_;
  absl::Time lastTokenAt_;
  std::vector<absl::Duration> tokenGaps_;
};

// Parses a chunk of the event stream and adds its events to the completion.
void
ParseChunk(Completion& aCompletion,
           net::SseParser& aParser,
           absl::string_view aChunk,
           absl::Time aNow);

// Returns the text that the stand-in engines generate for a prompt.
std::string
ExpectedText(absl::string_view aPrompt,
             absl::string_view aModel,
             absl::string_view aWeightVersion,
             std::uint32_t aTokens);

// Returns whether the completion is complete and is the expected answer to the
// prompt under one of the weight versions.
bool
IsCorrect(const Completion& aCompletion,
          absl::string_view aPrompt,
          absl::string_view aModel,
          const std::vector<std::string>& aWeightVersions,
          std::uint32_t aTokens);

} // namespace lycheeplank::load

#endif
