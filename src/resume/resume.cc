#include "lycheeplank/resume.h"

#include <array>
#include <vector>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include "lycheeplank/core.h"

namespace lycheeplank::resume {

namespace {

// 128 bits of the signature are kept.
constexpr std::size_t kSignatureDigits = 32;
constexpr char kSeparator = '.';
// Part count of a token: workspace, target, run, request, index, signature.
constexpr std::size_t kParts = 6;

std::string
Sign(absl::string_view aSecret, absl::string_view aText)
{
  return core::HmacSha256Hex(aSecret, aText).substr(0, kSignatureDigits);
}

// The workspace stands as a digest, so that a token tells nothing of it.
std::string
WorkspaceMark(absl::string_view aSecret, absl::string_view aWorkspace)
{
  return Sign(aSecret, absl::StrCat("workspace:", aWorkspace));
}

} // namespace

// The library's state of a keyed hash; copying it for each token spares
// hashing the secret and the common part again.
struct Signer::Hash
{
  Hash(absl::string_view aSecret, absl::string_view aPrefix)
  {
    static EVP_MAC* const hmac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    static char digest[] = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters{
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
      OSSL_PARAM_construct_end()
    };
    context_.reset(EVP_MAC_CTX_new(hmac));
    EVP_MAC_init(context_.get(),
                 reinterpret_cast<const unsigned char*>(aSecret.data()),
                 aSecret.size(),
                 parameters.data());
    EVP_MAC_update(context_.get(),
                   reinterpret_cast<const unsigned char*>(aPrefix.data()),
                   aPrefix.size());
  }

  // Returns the signature of the common part followed by aRest.
  std::string Sign(absl::string_view aRest) const
  {
    const ContextPtr copy(EVP_MAC_CTX_dup(context_.get()));
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    std::size_t size = 0;
    EVP_MAC_update(copy.get(),
                   reinterpret_cast<const unsigned char*>(aRest.data()),
                   aRest.size());
    EVP_MAC_final(copy.get(), digest.data(), &size, digest.size());
    return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(digest.data()), kSignatureDigits / 2));
  }

  struct Free
  {
    void operator()(EVP_MAC_CTX* aContext) const { EVP_MAC_CTX_free(aContext); }
  };
  using ContextPtr = std::unique_ptr<EVP_MAC_CTX, Free>;

  ContextPtr context_;
};

Signer::Signer(absl::string_view aSecret, const Position& aStart)
  : prefix_(absl::StrCat(WorkspaceMark(aSecret, aStart.workspace_),
                         ".",
                         absl::WebSafeBase64Escape(aStart.target_),
                         ".",
                         absl::WebSafeBase64Escape(aStart.runId_),
                         ".",
                         absl::WebSafeBase64Escape(aStart.requestId_),
                         "."))
  , hash_(std::make_shared<const Hash>(aSecret, prefix_))
{
}

std::string
Signer::TokenAt(std::uint64_t aIndex) const
{
  const std::string index = absl::StrCat(aIndex);
  return absl::StrCat(prefix_, index, ".", hash_->Sign(index));
}

absl::optional<Position>
Verify(absl::string_view aSecret,
       absl::string_view aWorkspace,
       absl::string_view aToken)
{
  const std::vector<absl::string_view> parts =
    absl::StrSplit(aToken, kSeparator);
  if (parts.size() != kParts) {
    return absl::nullopt;
  }
  const absl::string_view signature = parts.back();
  const absl::string_view text =
    aToken.substr(0, aToken.size() - signature.size() - 1);
  const bool genuine =
    core::EqualConstantTime(signature, Sign(aSecret, text)) &&
    core::EqualConstantTime(parts[0], WorkspaceMark(aSecret, aWorkspace));
  Position position;
  position.workspace_ = std::string(aWorkspace);
  if (!genuine || !absl::WebSafeBase64Unescape(parts[1], &position.target_) ||
      !absl::WebSafeBase64Unescape(parts[2], &position.runId_) ||
      !absl::WebSafeBase64Unescape(parts[3], &position.requestId_) ||
      !absl::SimpleAtoi(parts[4], &position.index_)) {
    return absl::nullopt;
  }
  return position;
}

} // namespace lycheeplank::resume
