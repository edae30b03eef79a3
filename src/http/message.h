#ifndef LYCHEEPLANK_SRC_HTTP_MESSAGE_H
#define LYCHEEPLANK_SRC_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// The heads of HTTP/1.1 messages as data, and functions that write them.
namespace lycheeplank::http {

struct Field
{
  std::string name_;
  std::string value_;
};

using Fields = std::vector<Field>;

// Returns the value of the first field with the name, ignoring case, or null.
const std::string*
FindField(const Fields& aFields, absl::string_view aName);

// Returns the number of fields with the name.
std::size_t
CountFields(const Fields& aFields, absl::string_view aName);

// Returns the fields without the hop-by-hop ones, which must not be forwarded;
// Connection may list additional ones.
Fields
EndToEndFields(const Fields& aFields);

struct RequestHead
{
  std::string method_;
  // Target of the request line, query included.
  std::string target_;
  Fields fields_;
  bool keepAlive_ = true;
  // Major times ten plus minor.
  int version_ = 11;
};

struct ResponseHead
{
  int status_ = 0;
  std::string reason_;
  Fields fields_;
  // The peer keeps the connection open after this answer.
  bool keepAlive_ = true;
  // Empty if the body is chunked or ends with the connection.
  absl::optional<std::uint64_t> length_;
  bool isChunked_ = false;
};

// Default limit of an answer's body. A page of the key-value service has about
// a megabyte; a relay's snapshot or a cache store's list is somewhat larger.
inline constexpr std::size_t kMaxAnswerBytes = 16U << 20U;

// A complete request to send, without the fields that frame it.
struct Call
{
  std::string method_ = "GET";
  std::string target_;
  Fields fields_;
  std::string body_;
  // Limit of the answer's body.
  std::size_t maxAnswerBytes_ = kMaxAnswerBytes;
};

// A complete answer.
struct Answer
{
  // 0 if no complete answer was received.
  int status_ = 0;
  Fields fields_;
  std::string body_;
  // Received bytes of the body, and the time from the answer's head to its end;
  // also set for an incomplete answer.
  std::size_t received_ = 0;
  absl::Duration transferTime_ = absl::ZeroDuration();
};

// Returns "METHOD target HTTP/1.1" with the fields and the empty line.
std::string
WriteRequestHead(absl::string_view aMethod,
                 absl::string_view aTarget,
                 const Fields& aFields);

// Returns the status line with the fields and the empty line.
std::string
WriteResponseHead(int aStatus,
                  absl::string_view aReason,
                  const Fields& aFields);

// Returns the standard reason phrase of a status.
absl::string_view
ReasonOf(int aStatus);

// Appends one chunk of a chunked body.
void
AppendChunk(std::string& aOut, absl::string_view aData);

inline constexpr absl::string_view kLastChunk = "0\r\n\r\n";

// Returns the value of one parameter of a request target's query, decoded.
std::string
QueryParameter(absl::string_view aTarget, absl::string_view aName);

} // namespace lycheeplank::http

#endif
