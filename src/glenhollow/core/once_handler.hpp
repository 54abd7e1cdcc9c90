#ifndef GLENHOLLOW_CORE_ONCE_HANDLER_HPP
#define GLENHOLLOW_CORE_ONCE_HANDLER_HPP

#include <functional>
#include <memory>
#include <utility>

namespace glenhollow
{

/// A handler that is called exactly once: with a result, or with a fallback
/// when whatever held it is dropped, such as a call on a broken link. Copies
/// share the one call.
template <class Result>
class once_handler final
{
public:
    /// @param done Called once.
    /// @param fallback What it is told when nobody else tells it.
    once_handler(std::function<void(Result)> done, Result fallback)
        : state_(std::make_shared<state>(std::move(done), std::move(fallback)))
    {
    }

    /// @param result Told to the handler, unless it was told before.
    void operator()(Result result) const { state_->tell(std::move(result)); }

private:
    /// The handler until it is called.
    struct state
    {
        state(std::function<void(Result)> to, Result otherwise)
            : done(std::move(to)), fallback(std::move(otherwise))
        {
        }
        state(const state&) = delete;
        state& operator=(const state&) = delete;
        ~state() { tell(std::move(fallback)); }

        void tell(Result result)
        {
            if (const auto to = std::exchange(done, nullptr))
                to(std::move(result));
        }

        std::function<void(Result)> done; ///< Null once called.
        Result fallback;                  ///< For the end of all copies.
    };

    std::shared_ptr<state> state_; ///< Shared by all copies.
};

} // namespace glenhollow

#endif
