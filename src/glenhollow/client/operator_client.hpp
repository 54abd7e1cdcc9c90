#ifndef GLENHOLLOW_CLIENT_OPERATOR_CLIENT_HPP
#define GLENHOLLOW_CLIENT_OPERATOR_CLIENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// Exit status of the operators' command line.
enum class client_exit : std::uint8_t
{
    ok = 0,          ///< Answered.
    refused = 1,     ///< The entry refused the statement.
    usage = 2,       ///< A wrong flag, or a text that is no statement.
    unreachable = 3, ///< No entry answered.
    unknown = 4      ///< A change that nobody can say of yet.
};

/// Settings of the operators' client.
struct operator_client_settings
{
    std::vector<host_port> entries; ///< Tried in order.
    std::string token;              ///< Bearer token.
    duration timeout = seconds{10}; ///< Of one statement.
};

/// The answer to one statement.
struct operator_answer
{
    client_exit exit = client_exit::unreachable; ///< What became of it.
    std::string body;                            ///< JSON text.
};

/// Sends statements to the first entry that answers.
class operator_client final
{
public:
    /// @param settings Where to and as whom.
    explicit operator_client(operator_client_settings settings)
        : settings_(std::move(settings))
    {
    }

    /// @param statement One statement.
    /// @return Its answer. A statement that may have reached an entry is not
    /// sent to another one.
    operator_answer run(const std::string& statement) const;

private:
    operator_client_settings settings_; ///< Where to and as whom.
};

/// @param body The JSON text of an answer.
/// @return Its rows as a table for people, or the problem in one line.
std::string to_table(const std::string& body);

} // namespace glenhollow

#endif
