#include "lycheeplank/net.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::net {

std::vector<SseParser::Event>
SseParser::Feed(absl::string_view aData)
{
  pending_.append(aData.data(), aData.size());
  std::vector<Event> events;
  std::size_t start = 0;
  for (std::size_t end = pending_.find("\n\n"); end != std::string::npos;
       end = pending_.find("\n\n", start)) {
    Event event;
    const absl::string_view block =
      absl::string_view(pending_).substr(start, end - start);
    for (absl::string_view line : absl::StrSplit(block, '\n')) {
      if (absl::ConsumePrefix(&line, "data:")) {
        absl::ConsumePrefix(&line, " ");
        absl::StrAppend(&event.data_, event.data_.empty() ? "" : "\n", line);
      } else if (absl::ConsumePrefix(&line, "id:")) {
        event.id_ = std::string(absl::StripAsciiWhitespace(line));
      }
    }
    events.push_back(std::move(event));
    start = end + 2;
  }
  pending_.erase(0, start);
  return events;
}

std::string
FormatSse(absl::string_view aId, absl::string_view aData)
{
  return aId.empty() ? absl::StrCat("data: ", aData, "\n\n")
                     : absl::StrCat("id: ", aId, "\ndata: ", aData, "\n\n");
}

std::string
UrlEscape(absl::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
        c == '_' || c == '.' || c == '~') {
      escaped += c;
    } else {
      absl::StrAppendFormat(
        &escaped,
        "%%%02X",
        static_cast<unsigned>(static_cast<unsigned char>(c)));
    }
  }
  return escaped;
}

} // namespace lycheeplank::net
