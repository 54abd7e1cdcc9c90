#ifndef GLENHOLLOW_ENTRY_SHARD_GROUP_HPP
#define GLENHOLLOW_ENTRY_SHARD_GROUP_HPP

#include "glenhollow/entry/shard.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace glenhollow
{

/// The traffic threads of an entry. Thread-safe.
class shard_group final
{
public:
    /// @param shards One or more shards; each runs on its own thread.
    /// @param control Context on which gather() reports its results.
    shard_group(std::vector<std::unique_ptr<shard>> shards,
                boost::asio::io_context& control)
        : shards_(std::move(shards)), control_io_(control)
    {
    }

    /// @return The number of shards.
    std::size_t size() const { return shards_.size(); }

    /// @param index Index of the shard, from 0.
    /// @return The shard; other threads may only use its thread-safe members.
    shard& at(std::size_t index) { return *shards_[index]; }

    /// @param sequence Sequence number of a submission of this entry.
    /// @return The shard that owns the submission.
    shard& owner_of(std::uint64_t sequence)
    {
        return *shards_[sequence % shards_.size()];
    }

    /// Runs a function on the thread of each shard.
    void post_to_all(const std::function<void(shard&)>& work)
    {
        for (const auto& one : shards_)
            one->post(work);
    }

    /// Runs a query on the thread of each shard and collects the results.
    /// @param query Called on each shard's thread.
    /// @param done Called on the control thread with the results in the order
    /// of the shards.
    template <class T>
    void gather(std::function<T(shard&)> query,
                std::function<void(std::vector<T>)> done)
    {
        struct collection
        {
            std::vector<T> answers;
            std::size_t pending;
            std::function<void(std::vector<T>)> done;
        };
        auto all = std::make_shared<collection>(collection{
            std::vector<T>(shards_.size()), shards_.size(), std::move(done)});
        for (std::size_t i = 0; i < shards_.size(); ++i)
        {
            shards_[i]->post(
                [this, i, query, all](shard& one)
                {
                    boost::asio::post(control_io_,
                                      [i, all, answer = query(one)]() mutable
                                      {
                                          all->answers[i] = std::move(answer);
                                          if (--all->pending == 0)
                                              all->done(
                                                  std::move(all->answers));
                                      });
                });
        }
    }

private:
    std::vector<std::unique_ptr<shard>> shards_; ///< Shards by index.
    boost::asio::io_context& control_io_; ///< Context of the control thread.
};

} // namespace glenhollow

#endif
