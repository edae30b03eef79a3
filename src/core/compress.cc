#include "core/compress.h"

#include <algorithm>
#include <new>

#include <zlib.h>

namespace lycheeplank::core {

namespace {

// Size of the first output buffer in multiples of the compressed data.
constexpr std::size_t kExpectedRatio = 8;

const Bytef*
BytesOf(absl::string_view aText)
{
  return reinterpret_cast<const Bytef*>(aText.data());
}

} // namespace

std::string
Compress(absl::string_view aText)
{
  auto size = compressBound(aText.size());
  std::string data(size, '\0');
  // With an output of this size only a lack of memory makes compress2 fail.
  if (compress2(reinterpret_cast<Bytef*>(data.data()),
                &size,
                BytesOf(aText),
                aText.size(),
                Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  data.resize(size);
  return data;
}

absl::optional<std::string>
Decompress(absl::string_view aData, std::size_t aMaxBytes)
{
  std::string text(std::min(aMaxBytes, aData.size() * kExpectedRatio), '\0');
  while (true) {
    uLongf size = text.size();
    const int result = uncompress(reinterpret_cast<Bytef*>(text.data()),
                                  &size,
                                  BytesOf(aData),
                                  aData.size());
    if (result == Z_OK) {
      text.resize(size);
      return text;
    }
    // Z_BUF_ERROR also reports incomplete data.
    if (result != Z_BUF_ERROR || text.size() >= aMaxBytes) {
      return absl::nullopt;
    }
    text.resize(std::min(aMaxBytes, text.size() * 2 + 1));
  }
}

} // namespace lycheeplank::core
