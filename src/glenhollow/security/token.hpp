#ifndef GLENHOLLOW_SECURITY_TOKEN_HPP
#define GLENHOLLOW_SECURITY_TOKEN_HPP

#include "glenhollow/core/result.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// @param token A secret.
/// @return Its SHA-256 in hex; only that is ever kept or sent on.
std::string hash_token(std::string_view token);

/// @param authorization The value of an Authorization header.
/// @return The bearer token in it, or empty.
std::string_view bearer_token(std::string_view authorization);

/// @param token A secret that a caller sent.
/// @param hash What hash_token() gave for the right one.
/// @return Whether it is the right one; takes the same time for any wrong one.
bool token_matches(std::string_view token, std::string_view hash);

/// The operators who may give statements.
class operator_tokens final
{
public:
    /// @param text `NAME:TOKEN[,NAME:TOKEN...]`; a token without a name belongs
    /// to `operator`.
    /// @return The tokens, or what is wrong with the text.
    static result<operator_tokens> parse(std::string_view text);

    /// @param authorization The value of an Authorization header.
    /// @return Whose token it has, or nothing.
    std::optional<std::string> owner_of(std::string_view authorization) const;

private:
    /// One operator.
    struct entry
    {
        std::string name; ///< Who.
        std::string hash; ///< Of the token.
    };

    std::vector<entry> entries_; ///< All operators.
};

} // namespace glenhollow

#endif
