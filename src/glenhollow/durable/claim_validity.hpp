#ifndef GLENHOLLOW_DURABLE_CLAIM_VALIDITY_HPP
#define GLENHOLLOW_DURABLE_CLAIM_VALIDITY_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>

namespace glenhollow
{

/// Time limits for the confirmations of a claim.
struct claim_validity_settings
{
    /// A confirmation is valid for this time after its request was sent.
    duration max_age = milliseconds{1000};
    /// The store is asked again once its last confirmation is this old. The
    /// remaining time up to max_age covers the round trip.
    duration check_after = milliseconds{800};
    /// Minimum time between two requests to the store.
    duration check_interval = milliseconds{300};
    /// An entry that had been silent for this long at the store's last
    /// confirmation need not confirm the claim.
    duration peer_retention = seconds{60};
};

/// Tracks when an owner's claim of a part was last confirmed. Another entry may
/// take the part at any moment, and an owner that is cut off from the store and
/// from that entry is not notified. Leases are therefore renewed only while a
/// confirmation is younger than the time that a new owner waits before it
/// starts tasks. The store confirms the claim; while the store is silent, all
/// entries that could have taken the part must confirm it. The age of a
/// confirmation counts from the time its request was sent. Not thread-safe.
class claim_validity final
{
public:
    /// Creates a tracker without any confirmation.
    explicit claim_validity(const claim_validity_settings& settings = {})
        : settings_(settings)
    {
    }

    /// Records that the store has confirmed or written the claim.
    /// @param sent Time at which the request to the store was sent.
    void store_confirmed(instant sent)
    {
        store_confirmed_at_ = std::max(store_confirmed_at_, sent);
    }

    /// Checks whether a request to the store is due, and if so, records it as
    /// sent.
    /// @return Whether the caller must ask the store now.
    bool begin_store_check(instant now)
    {
        if (now - store_confirmed_at_ < settings_.check_after ||
            now - last_store_check_ < settings_.check_interval)
            return false;
        last_store_check_ = now;
        return true;
    }

    /// @return Whether the store's last confirmation is older than max_age.
    bool store_confirmation_expired(instant now) const
    {
        return now - store_confirmed_at_ > settings_.max_age;
    }

    /// @param peers_confirmed_at Time at which the oldest of the other entries'
    /// confirmations was requested; zero if one of them is missing.
    /// @return Whether the owner may renew leases.
    bool is_valid(instant now, instant peers_confirmed_at) const
    {
        return now - std::max(store_confirmed_at_, peers_confirmed_at) <=
               settings_.max_age;
    }

    /// @return The start of the period in which an entry must have been heard
    /// for its confirmation to be required.
    instant active_since() const
    {
        return store_confirmed_at_ - settings_.peer_retention;
    }

    /// @return The time limits in use.
    const claim_validity_settings& settings() const { return settings_; }

private:
    claim_validity_settings settings_;
    instant store_confirmed_at_{}; ///< Send time of the confirmed request.
    instant last_store_check_{};   ///< Send time of the latest request.
};

} // namespace glenhollow

#endif
