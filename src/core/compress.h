#ifndef LYCHEEPLANK_SRC_CORE_COMPRESS_H
#define LYCHEEPLANK_SRC_CORE_COMPRESS_H

#include <cstddef>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

// Compression of texts that hosts send each other.
namespace lycheeplank::core {

// Returns a text in zlib format, compressed at the fastest level.
std::string
Compress(absl::string_view aText);

// Returns the text of compressed data; nothing if the data is invalid,
// incomplete or longer than aMaxBytes when decompressed.
absl::optional<std::string>
Decompress(absl::string_view aData, std::size_t aMaxBytes);

} // namespace lycheeplank::core

#endif
