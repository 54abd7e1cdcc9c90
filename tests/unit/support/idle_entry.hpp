#ifndef GLENHOLLOW_TESTS_UNIT_SUPPORT_IDLE_ENTRY_HPP
#define GLENHOLLOW_TESTS_UNIT_SUPPORT_IDLE_ENTRY_HPP

#include "glenhollow/durable/entry_peers.hpp"

#include <string>
#include <utility>

namespace glenhollow
{

/// Entry that announces only its name and serves nothing.
struct idle_entry : entry_peer_handler
{
    explicit idle_entry(std::string name) : name_(std::move(name)) {}

    entry_view own_view() override
    {
        entry_view view;
        view.name = name_;
        return view;
    }
    void peer_view_received(const entry_view&) override {}
    void serve(const job_call&, job_reply_handler done) override { done({}); }
    std::string catalog_document() override { return {}; }
    wire::PlacementSession::Client
    open_placement(const std::string&, wire::PlacementGrants::Client) override
    {
        return nullptr;
    }

private:
    std::string name_;
};

} // namespace glenhollow

#endif
