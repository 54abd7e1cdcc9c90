#ifndef GLENHOLLOW_TESTS_SIMULATED_OWNERSHIP_HPP
#define GLENHOLLOW_TESTS_SIMULATED_OWNERSHIP_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "glenhollow/journal/monitored_store.hpp"
#include "simulated_node.hpp"
#include "unit/support/fake_row_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace glenhollow
{

/// Connection of an entry to the store of the journal.
class simulated_store final : public row_store
{
public:
    /// @param time Must outlive the connection.
    /// @param rows Store; must outlive the connection.
    simulated_store(simulated_time& time, fake_row_store& rows)
        : time_(time), rows_(rows)
    {
    }

    void commit(const row_transaction& change, commit_handler done) override;
    void read(const row_range& range, read_handler done) override;
    void follow(const std::string& table, std::uint64_t after, duration wait,
                feed_handler done) override;

    simulated_node* caller = nullptr; ///< Entry process.
    instant blocked_until{};          ///< No call passes before then.
    double lost_answers = 0; ///< Share of calls executed without an answer.

private:
    template <class Result, class Call>
    void call(std::function<void(Result)> done, Call serve);

    simulated_time& time_;
    fake_row_store& rows_;
};

/// Ownership state that entries exchange.
struct ownership_view
{
    /// Time of receipt by the clock of the receiver; 0: never.
    instant received_at{};
    instant requested_at{};        ///< Time of the request by the same clock.
    std::uint64_t incarnation = 0; ///< Process of the entry.
    std::uint32_t epoch = 0;       ///< Epoch of its ownership; 0: none.
    std::uint32_t released = 0;    ///< Last epoch that it released.
    bool reaches_store = true;     ///< Whether it reaches the store.
};

/// Simulates part_ownership for the only part of the journal, with a real
/// coordinator and chain.
///
/// | here                  | in the product                        |
/// | --------------------- | ------------------------------------- |
/// | tick                  | part_ownership::tick                  |
/// | read_head, head_read  | the same                              |
/// | claim, loaded         | the same                              |
/// | lose, release         | the same                              |
/// | check_claim           | the same, and ::claim_checked         |
/// | oldest_confirmation   | entry_peers::oldest_confirmation      |
/// | receive_view, is_live | entry_peers::view_received, ::is_live |
class simulated_ownership final
{
public:
    /// Services of the entry.
    struct dependencies
    {
        /// Dependencies of the coordinator.
        job_coordinator::dependencies jobs;
        /// Agents that may have runs.
        std::function<std::set<std::string>()> agents;
        /// Called with the new claim.
        std::function<void(part_epoch)> ownership_acquired;
        std::function<void()> ownership_ended; ///< Called when it ends.
        /// Whether a partition refuses connections to another entry. Those to
        /// an ended entry, which are refused as well, are left out.
        std::function<bool(std::size_t)> refuses_connections;
        std::vector<std::size_t> others; ///< The other entries.
    };

    /// @param time Must outlive it.
    /// @param entry Number of its entry.
    /// @param incarnation Process of the entry.
    simulated_ownership(simulated_time& time, dependencies context,
                        std::size_t entry, std::uint64_t incarnation);

    /// @param reachable Whether the store answers.
    void tick(bool reachable);

    /// Records the view of another entry.
    void receive_view(std::size_t entry, ownership_view view);

    /// @return View for the other entries.
    ownership_view view() const;

    /// @return Coordinator, or null without the part.
    job_coordinator* jobs() { return jobs_.get(); }

    /// @return Whether the leases of its claim may be renewed now.
    bool is_valid() const;

private:
    bool is_live(const ownership_view& view) const;
    bool has_live_owner() const;
    bool is_superseded() const;
    bool others_reach_store() const;
    bool is_free(const chain_head& head) const;
    void check_claim();
    instant oldest_confirmation() const;
    void read_head();
    void head_read(const read_result& got);
    void claim(const chain_head& head);
    void loaded(const chain_head& head, loaded_part rows);
    void schedule_retry();
    void lose();
    void release();

    simulated_time& time_;
    dependencies context_;      ///< Services of the entry.
    std::size_t entry_;         ///< Number of its entry.
    std::uint64_t incarnation_; ///< Process of the entry.
    part_ownership_settings settings_;
    /// Views of the other entries.
    std::map<std::size_t, ownership_view> views_;
    /// Coordinator while it owns the part.
    std::unique_ptr<job_coordinator> jobs_;
    claim_validity validity_;    ///< Validity of its claim.
    instant claim_sent_{};       ///< Time at which the claim was sent.
    bool claiming_ = false;      ///< Whether a claim is under way.
    bool head_seen_ = false;     ///< Whether the head was read before.
    bool reachable_ = true;      ///< Whether the store answers.
    chain_head seen_head_;       ///< Head as last read.
    std::uint32_t released_ = 0; ///< Last released epoch.
    instant free_since_{};       ///< Time since which no live owner is known.
    instant retry_at_{};         ///< Time of the next read of the head.
    /// Cleared by the destructor.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

public:
    ~simulated_ownership() { *alive_ = false; }
};

} // namespace glenhollow

#endif
