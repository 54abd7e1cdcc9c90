#ifndef GLENHOLLOW_RUNS_SERVER_ACCOUNT_JSON_HPP
#define GLENHOLLOW_RUNS_SERVER_ACCOUNT_JSON_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/runs/run_manager.hpp"

#include <string>

namespace glenhollow
{

/// @param account A backend server as it has registered itself.
/// @return What the next process of its agent needs to ask it.
std::string encode_server_account(const server_account& account);

/// @param memo As encoded.
/// @return The backend server, or what is wrong with the memo.
result<server_account> decode_server_account(const std::string& memo);

} // namespace glenhollow

#endif
