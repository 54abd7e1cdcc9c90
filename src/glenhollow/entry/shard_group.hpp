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

/// The traffic threads of an entry. Any thread may call.
class shard_group final
{
public:
    /// @param shards One or more, each to be run on its own thread.
    /// @param control Where gathered results are told.
    shard_group(std::vector<std::unique_ptr<shard>> shards,
                boost::asio::io_context& control)
        : shards_(std::move(shards)), control_io_(control)
    {
    }

    /// @return How many there are.
    std::size_t size() const { return shards_.size(); }

    /// @param index From 0.
    /// @return The shard; only post() and stop() of it may be used here.
    shard& at(std::size_t index) { return *shards_[index]; }

    /// @param sequence A submission of this entry.
    /// @return The shard whose job it is.
    shard& owner_of(std::uint64_t sequence)
    {
        return *shards_[sequence % shards_.size()];
    }

    /// @param work Runs on each shard's thread.
    void post_to_all(const std::function<void(shard&)>& work)
    {
        for (const auto& one : shards_)
            one->post(work);
    }

    /// Asks every shard and tells all answers on the control thread.
    /// @param ask Runs on each shard's thread.
    /// @param done Told the answers, in the order of the shards.
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
    std::vector<std::unique_ptr<shard>> shards_; ///< The threads.
    boost::asio::io_context& control_io_;        ///< The control thread.
};

} // namespace glenhollow

#endif
