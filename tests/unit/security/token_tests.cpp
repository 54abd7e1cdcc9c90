#include "glenhollow/security/token.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a token matches only its own hash, which does not contain it")
{
    const auto hash = hash_token("secret-of-anna");
    REQUIRE(hash.size() == 64);
    REQUIRE(hash.find("anna") == std::string::npos);
    REQUIRE(token_matches("secret-of-anna", hash));
    REQUIRE_FALSE(token_matches("secret-of-annb", hash));
    REQUIRE_FALSE(token_matches("", hash));
}

TEST_CASE("operators are identified by their bearer tokens")
{
    const auto tokens =
        operator_tokens::parse("anna:aaaaaaaa,bruno:bbbbbbbb").value();
    REQUIRE(tokens.owner_of("Bearer bbbbbbbb") == "bruno");
    REQUIRE_FALSE(tokens.owner_of("Bearer cccccccc"));
    REQUIRE_FALSE(tokens.owner_of("aaaaaaaa"));
    REQUIRE_FALSE(tokens.owner_of(""));
    REQUIRE(operator_tokens::parse("aaaaaaaa")
                .value()
                .owner_of("Bearer aaaaaaaa") == "operator");
    REQUIRE_FALSE(operator_tokens::parse("anna:short"));
    // An empty list accepts no one, not even an empty token.
    REQUIRE_FALSE(operator_tokens::parse("").value().owner_of("Bearer "));
}
