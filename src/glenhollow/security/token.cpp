#include "glenhollow/security/token.hpp"

#include "glenhollow/core/submission_id.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace glenhollow
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view default_operator_name = "operator";
constexpr std::size_t min_token_length = 8;

} // namespace

std::string hash_token(std::string_view token)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(token.data(), token.size(), digest.data(), &length, EVP_sha256(),
               nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned i = 0; i < length; ++i)
    {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 15U];
    }
    return hex;
}

std::string_view bearer_token(std::string_view authorization)
{
    if (!authorization.starts_with(bearer_prefix))
        return {};
    return authorization.substr(bearer_prefix.size());
}

bool token_matches(std::string_view token, std::string_view hash)
{
    const auto given = hash_token(token);
    return given.size() == hash.size() &&
           CRYPTO_memcmp(given.data(), hash.data(), hash.size()) == 0;
}

result<operator_tokens> operator_tokens::parse(std::string_view text)
{
    operator_tokens tokens;
    while (!text.empty())
    {
        const auto comma = text.find(',');
        auto item = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                           : comma + 1);
        const auto colon = item.find(':');
        std::string_view name = default_operator_name;
        if (colon != std::string_view::npos)
        {
            name = item.substr(0, colon);
            item.remove_prefix(colon + 1);
        }
        if (!is_name(name) || item.size() < min_token_length)
            return failure{"must be NAME:TOKEN[,NAME:TOKEN...] with tokens of "
                           "8 characters or more"};
        tokens.entries_.push_back({std::string(name), hash_token(item)});
    }
    return tokens;
}

std::optional<std::string>
operator_tokens::owner_of(std::string_view authorization) const
{
    const auto token = bearer_token(authorization);
    std::optional<std::string> owner;
    // Compares with every entry so that the response time does not reveal which
    // entry matched.
    for (const auto& item : entries_)
    {
        if (token_matches(token, item.hash))
            owner = item.name;
    }
    return owner;
}

} // namespace glenhollow
