#ifndef GLENHOLLOW_DURABLE_CLAIM_VALIDITY_HPP
#define GLENHOLLOW_DURABLE_CLAIM_VALIDITY_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>

namespace glenhollow
{

/// Limits of the evidence for a claim.
struct claim_validity_settings
{
    duration max_age = milliseconds{1000}; ///< A word counts so long from the
                                           ///< moment at which it was asked
                                           ///< for.
    duration check_after = milliseconds{800}; ///< The store is asked again when
                                              ///< its last word is older;
                                              ///< leases outlast the gap.
    duration check_interval = milliseconds{300}; ///< Between two questions.
    duration peer_retention = seconds{60}; ///< An entry that had been silent so
                                           ///< long at the store's last word is
                                           ///< not waited for.
};

/// When an owner last knew that its claim of a part stood. Another entry may
/// take the part at any moment, and nothing tells an owner that is cut off from
/// the store and from that entry. So leases are renewed only on a word that is
/// younger than the time by which a new owner outwaits them: of the store, or,
/// while it is silent, of all entries that could have taken the part. A word is
/// as old as the question for it, however long the answer took. One thread.
class claim_validity final
{
public:
    /// @param settings Limits.
    explicit claim_validity(const claim_validity_settings& settings = {})
        : settings_(settings)
    {
    }

    /// @param asked When the store was asked whether the claim stands, or to
    /// write it; it does.
    void store_confirmed(instant sent)
    {
        store_confirmed_at_ = std::max(store_confirmed_at_, sent);
    }

    /// @param now The time.
    /// @return Whether the store is to be asked; if so, it counts as asked.
    bool begin_store_check(instant now)
    {
        if (now - store_confirmed_at_ < settings_.check_after ||
            now - last_store_check_ < settings_.check_interval)
            return false;
        last_store_check_ = now;
        return true;
    }

    /// @param now The time.
    /// @return Whether the store's word is too old to count.
    bool store_confirmation_expired(instant now) const
    {
        return now - store_confirmed_at_ > settings_.max_age;
    }

    /// @param now The time.
    /// @param entries When the entries that could have taken the part were
    /// asked whether they have, and all had not; zero: some did not tell.
    /// @return Whether leases may be renewed.
    bool is_valid(instant now, instant peers_confirmed_at) const
    {
        return now - std::max(store_confirmed_at_, peers_confirmed_at) <=
               settings_.max_age;
    }

    /// @return Since when an entry must have been heard to be waited for.
    instant active_since() const
    {
        return store_confirmed_at_ - settings_.peer_retention;
    }

    /// @return Limits.
    const claim_validity_settings& settings() const { return settings_; }

private:
    claim_validity_settings settings_; ///< Limits.
    instant store_confirmed_at_{};     ///< When the store was asked that
                                       ///< confirmed it last.
    instant last_store_check_{};       ///< Last question to the store.
};

} // namespace glenhollow

#endif
