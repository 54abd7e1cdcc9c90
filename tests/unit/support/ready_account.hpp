#ifndef GLENHOLLOW_TESTS_UNIT_SUPPORT_READY_ACCOUNT_HPP
#define GLENHOLLOW_TESTS_UNIT_SUPPORT_READY_ACCOUNT_HPP

#include "glenhollow/runs/server_account.hpp"

#include <cstdint>

namespace glenhollow
{

/// @param cpu Capacity, thousandths of a core.
/// @return The account of a backend server that takes work.
inline server_account ready_account(std::uint32_t cpu)
{
    server_account account;
    account.service = "service-1";
    account.instance = "life-1";
    account.capacity = {cpu, 1000, 0};
    account.phase = server_phase::ready;
    return account;
}

} // namespace glenhollow

#endif
