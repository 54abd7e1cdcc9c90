#ifndef GLENHOLLOW_RUNS_RUNNER_MEMO_HPP
#define GLENHOLLOW_RUNS_RUNNER_MEMO_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/runs/run_manager.hpp"

#include <string>

namespace glenhollow
{

/// @param account A backend server as it has registered itself.
/// @return What the next process of its agent needs to ask it.
std::string encode_runner_memo(const runner_account& account);

/// @param memo As encoded.
/// @return The backend server, or what is wrong with the memo.
result<runner_account> decode_runner_memo(const std::string& memo);

} // namespace glenhollow

#endif
