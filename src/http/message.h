#ifndef LYCHEEPLANK_SRC_HTTP_MESSAGE_H
#define LYCHEEPLANK_SRC_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

// Heads of HTTP/1.1 messages as data, and how they are written.
namespace lycheeplank::http {

struct Field
{
  std::string name_;
  std::string value_;
};

using Fields = std::vector<Field>;

// Returns the value of the first field with the name (case is ignored), or
// null.
const std::string*
FindField(const Fields& aFields, absl::string_view aName);

// Returns how many fields have the name.
std::size_t
CountFields(const Fields& aFields, absl::string_view aName);

// Returns whether a field concerns one connection only and isn't passed on;
// Connection may name more of them.
bool
IsHopField(const Fields& aFields, absl::string_view aName);

struct RequestHead
{
  std::string method_;
  // As on the request line, query included.
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
  // Nothing if the body is in chunks or ends with the connection.
  absl::optional<std::uint64_t> length_;
  bool isChunked_ = false;
};

// A whole request to send, without the fields that frame it.
struct Call
{
  std::string method_ = "GET";
  std::string target_;
  Fields fields_;
  std::string body_;
};

// A whole answer.
struct Answer
{
  // No whole answer came if 0.
  int status_ = 0;
  Fields fields_;
  std::string body_;
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

// Returns the usual phrase of a status.
absl::string_view
ReasonOf(int aStatus);

// Appends one chunk of a body in chunks.
void
AppendChunk(std::string& aOut, absl::string_view aData);

inline constexpr absl::string_view kLastChunk = "0\r\n\r\n";

// Returns the value of one parameter of a request target's query, decoded.
std::string
QueryParameter(absl::string_view aTarget, absl::string_view aName);

} // namespace lycheeplank::http

#endif
