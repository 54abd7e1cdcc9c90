#include "glenhollow/entry/peer_wire.hpp"

namespace glenhollow
{

kj::ArrayPtr<const kj::byte> as_bytes(const std::string& text)
{
    return kj::ArrayPtr<const char>(text.data(), text.size()).asBytes();
}

std::string to_string(capnp::Data::Reader data)
{
    const auto chars = data.asChars();
    return {chars.begin(), chars.size()};
}

void fill(wire::Answer::Builder out, const job_answer& answer)
{
    out.setStatus(static_cast<std::uint16_t>(answer.status));
    out.setReason(static_cast<std::uint16_t>(answer.why));
    out.setRetryAfterMs(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(answer.retry_after).count()));
    out.setBody(as_bytes(answer.body));
}

job_answer to_answer(wire::Answer::Reader from)
{
    job_answer answer;
    answer.status = from.getStatus();
    answer.why = from_index<reason>(from.getReason(), reason::internal);
    answer.retry_after = milliseconds{from.getRetryAfterMs()};
    answer.body = to_string(from.getBody());
    return answer;
}

void fill(capnp::List<wire::TeamDemand>::Builder out,
          const std::vector<team_demand>& demand)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out[i].setTeam(demand[i].team);
        out[i].setRate(demand[i].rate);
    }
}

std::vector<team_demand> to_demand(capnp::List<wire::TeamDemand>::Reader from)
{
    std::vector<team_demand> demand;
    for (const auto one : from)
        demand.push_back({one.getTeam().cStr(), one.getRate()});
    return demand;
}

void fill(capnp::List<wire::Member>::Builder out, const member_map& members)
{
    unsigned index = 0;
    for (const auto& [name, one] : members)
    {
        auto to = out[index++];
        to.setName(name);
        to.setRole(std::string(to_name(one.role)));
        to.setHall(one.hall);
        to.setRpc(one.rpc.to_string());
        to.setState(std::string(to_name(one.state)));
    }
}

std::vector<member> to_members(capnp::List<wire::Member>::Reader from)
{
    std::vector<member> members;
    for (const auto one : from)
    {
        const auto role = from_name<member_role>(one.getRole().cStr());
        const auto state = from_name<member_state>(one.getState().cStr());
        const auto rpc = host_port::parse(one.getRpc().cStr());
        if (role && state && rpc)
            members.push_back({one.getName().cStr(), *role,
                               one.getHall().cStr(), rpc.value(), *state});
    }
    return members;
}

} // namespace glenhollow
