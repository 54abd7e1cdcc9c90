#ifndef GLENHOLLOW_SECURITY_TOKEN_HPP
#define GLENHOLLOW_SECURITY_TOKEN_HPP

#include "glenhollow/core/result.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// Hashes a secret token, so that only its hash is stored or forwarded.
/// @return The SHA-256 digest in lower-case hexadecimal.
std::string hash_token(std::string_view token);

/// Extracts the bearer token from the value of an Authorization header.
/// @return The token, or an empty view if the scheme is not `Bearer`.
std::string_view bearer_token(std::string_view authorization);

/// Compares a token from a caller with the stored hash of the expected token.
/// The hashes are compared in constant time.
/// @param hash The result of hash_token() for the expected token.
bool token_matches(std::string_view token, std::string_view hash);

/// The names and token hashes of the operators who may send statements.
class operator_tokens final
{
public:
    /// Parses the list of operators.
    /// @param text `NAME:TOKEN[,NAME:TOKEN...]`; a token without a name belongs
    /// to `operator`.
    /// @return The tokens, or an error message if the text is malformed.
    static result<operator_tokens> parse(std::string_view text);

    /// @param authorization The value of an Authorization header.
    /// @return The name of the operator whose bearer token the header carries,
    /// or nothing if no token matches.
    std::optional<std::string> owner_of(std::string_view authorization) const;

private:
    struct entry
    {
        std::string name;
        std::string hash; ///< The result of hash_token().
    };

    std::vector<entry> entries_;
};

} // namespace glenhollow

#endif
