#ifndef GLENHOLLOW_RUNS_SERVER_ACCOUNT_JSON_HPP
#define GLENHOLLOW_RUNS_SERVER_ACCOUNT_JSON_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/runs/run_manager.hpp"

#include <string>

namespace glenhollow
{

/// @param account Account of a registered backend server.
/// @return The account as JSON, for the next process of the same agent.
std::string encode_server_account(const server_account& account);

/// @param memo Account as encoded.
/// @return The account, or why the JSON is invalid.
result<server_account> decode_server_account(const std::string& memo);

} // namespace glenhollow

#endif
