#include "core/compress.h"

#include <catch2/catch.hpp>

namespace core = lycheeplank::core;

namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;

} // namespace

TEST_CASE("a compressed text is decompressed to itself")
{
  for (const std::size_t size : { 0, 1, 100, 1000000 }) {
    const std::string text(size, 'x');
    CHECK(core::Decompress(core::Compress(text), kMaxBytes) == text);
  }
}

TEST_CASE("a text longer than the limit is not decompressed")
{
  const auto data = core::Compress(std::string(kMaxBytes + 1, 'x'));
  CHECK(core::Decompress(data, kMaxBytes + 1));
  CHECK_FALSE(core::Decompress(data, kMaxBytes));
}

TEST_CASE("invalid and incomplete data is not decompressed")
{
  const auto data =
    core::Compress("a text with some words and some more words");
  CHECK_FALSE(core::Decompress("", kMaxBytes));
  CHECK_FALSE(core::Decompress("no compressed data", kMaxBytes));
  for (std::size_t size = 0; size < data.size(); ++size) {
    CHECK_FALSE(core::Decompress(data.substr(0, size), kMaxBytes));
  }
  auto damaged = data;
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  CHECK_FALSE(core::Decompress(damaged, kMaxBytes));
}
