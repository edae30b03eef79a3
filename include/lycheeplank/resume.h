#ifndef LYCHEEPLANK_RESUME_H
#define LYCHEEPLANK_RESUME_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

// Resume tokens, with which any entry host can continue a stream.
namespace lycheeplank::resume {

// The run that a stream shows, and the caller's position in it.
struct Position
{
  std::string workspace_;
  std::string target_;
  std::string runId_;
  std::string requestId_;
  // Index of the last token that the caller has received.
  std::uint64_t index_ = 0;
};

// Signs the positions of one stream with the secret of all entry hosts.
class Signer
{
public:
  Signer(absl::string_view aSecret, const Position& aStart);

  // Returns the token for a position in this stream. Not thread-safe.
  std::string TokenAt(std::uint64_t aIndex) const;

  // The cipher that signs the indices of one stream.
  struct Key;

private:
  std::string prefix_;
  std::shared_ptr<const Key> key_;
};

// Returns the position of a token, or nothing if the token was altered or
// belongs to another workspace.
absl::optional<Position>
Verify(absl::string_view aSecret,
       absl::string_view aWorkspace,
       absl::string_view aToken);

} // namespace lycheeplank::resume

#endif
