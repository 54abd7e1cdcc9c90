#ifndef GLENHOLLOW_TESTS_SIMULATED_OWNERSHIP_HPP
#define GLENHOLLOW_TESTS_SIMULATED_OWNERSHIP_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "glenhollow/journal/watched_store.hpp"
#include "simulated_node.hpp"
#include "unit/support/fake_row_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace glenhollow
{

/// An entry's way to the store of the journal.
class simulated_store final : public row_store
{
public:
    /// @param time Outlives it.
    /// @param rows The store itself; outlives it.
    /// @param caller The entry's process; outlives it.
    simulated_store(simulated_time& time, fake_row_store& rows)
        : time_(time), rows_(rows)
    {
    }

    void commit(const row_transaction& change, commit_handler done) override;
    void read(const row_range& range, read_handler done) override;
    void follow(const std::string& table, std::uint64_t after, duration wait,
                feed_handler done) override;

    simulated_node* caller = nullptr; ///< The entry's process.
    instant blocked_until{};          ///< No call passes before.
    double lost_answers = 0;          ///< Share of calls done, unanswered.

private:
    template <class Result, class Call>
    void call(std::function<void(Result)> done, Call serve);

    simulated_time& time_; ///< Of the simulation.
    fake_row_store& rows_; ///< The store itself.
};

/// What an entry tells the others, and when it was heard.
struct ownership_view
{
    instant received_at{};         ///< By the hearer's clock; 0: never.
    instant requested_at{};        ///< When it was asked for, by that clock.
    std::uint64_t incarnation = 0; ///< Of its process.
    std::uint32_t epoch = 0;       ///< Under which it owns the part; 0: not.
    std::uint32_t released = 0;    ///< Last epoch that it gave away.
    bool reaches_store = true;     ///< The store answers it.
};

/// An entry's seat for the only part of the journal, with a real coordinator
/// and chain, below the order of events that part_ownership keeps.
///
/// | here          | in the product                                   |
/// | ------------- | ------------------------------------------------ |
/// | tick          | part_ownership::tick                             |
/// | look, looked  | the same                                         |
/// | claim, loaded | the same                                         |
/// | lose, release | the same                                         |
/// | check_claim | the same, and ::claim_checked                  |
/// | oldest_confirmation   | entry_peers::oldest_confirmation | | hear, is_live
/// | entry_peers: views, live by exchange_pacing      |
class simulated_ownership final
{
public:
    /// What it needs of its entry.
    struct dependencies
    {
        job_coordinator::dependencies jobs;            ///< Of the coordinator.
        std::function<std::set<std::string>()> agents; ///< That may run.
        std::function<void(part_epoch)> ownership_acquired; ///< Told.
        std::function<void()> ownership_ended;              ///< Told.
        std::function<bool(std::size_t)>
            refuses_connections;         ///< Whether the VM of
                                         ///< another entry refuses
                                         ///< connections.
        std::vector<std::size_t> others; ///< The other entries.
    };

    /// @param time Outlives it.
    /// @param around Outlives it.
    /// @param entry Number of its entry.
    /// @param incarnation Of its entry's process.
    simulated_ownership(simulated_time& time, dependencies context,
                        std::size_t entry, std::uint64_t incarnation);

    /// @param reachable Whether the store answers.
    void tick(bool reachable);

    /// @param entry Another one.
    /// @param view Its view.
    void receive_view(std::size_t entry, ownership_view view);

    /// @return What it tells the others.
    ownership_view view() const;

    /// @return The jobs, or null.
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

    simulated_time& time_;                        ///< Of the simulation.
    dependencies context_;                        ///< Of its entry.
    std::size_t entry_;                           ///< Number of its entry.
    std::uint64_t incarnation_;                   ///< Of the process.
    part_ownership_settings settings_;            ///< Limits.
    std::map<std::size_t, ownership_view> views_; ///< Of the others.
    std::unique_ptr<job_coordinator> jobs_;       ///< While it owns the part.
    claim_validity validity_;                     ///< For its claim.
    instant claim_sent_{};                        ///< When that left.
    bool claiming_ = false;                       ///< A call is out.
    bool head_seen_ = false;                      ///< The head was seen before.
    bool reachable_ = true;                       ///< The store answers.
    chain_head seen_head_;                        ///< Then.
    std::uint32_t released_ = 0;                  ///< Last epoch given away.
    instant free_since_{};                        ///< Without an owner.
    instant retry_at_{};                          ///< No look before.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.

public:
    ~simulated_ownership() { *alive_ = false; }
};

} // namespace glenhollow

#endif
