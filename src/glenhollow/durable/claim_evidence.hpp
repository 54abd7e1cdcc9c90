#ifndef GLENHOLLOW_DURABLE_CLAIM_EVIDENCE_HPP
#define GLENHOLLOW_DURABLE_CLAIM_EVIDENCE_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>

namespace glenhollow
{

/// Limits of the evidence for a claim.
struct claim_evidence_settings
{
    duration good_for = milliseconds{1000}; ///< A word counts so long from the
                                            ///< moment at which it was asked
                                            ///< for.
    duration ask_after = milliseconds{800}; ///< The store is asked again when
                                            ///< its last word is older; leases
                                            ///< outlast the gap.
    duration ask_again = milliseconds{300}; ///< Between two questions.
    duration forgotten = seconds{60}; ///< An entry that had been silent so long
                                      ///< at the store's last word is not
                                      ///< waited for.
};

/// When an owner last knew that its claim of a part stood. Another entry may
/// take the part at any moment, and nothing tells an owner that is cut off from
/// the store and from that entry. So leases are renewed only on a word that is
/// younger than the time by which a new owner outwaits them: of the store, or,
/// while it is silent, of all entries that could have taken the part. A word is
/// as old as the question for it, however long the answer took. One thread.
class claim_evidence final
{
public:
    /// @param settings Limits.
    explicit claim_evidence(const claim_evidence_settings& settings = {})
        : settings_(settings)
    {
    }

    /// @param asked When the store was asked whether the claim stands, or to
    /// write it; it does.
    void store_confirmed(instant asked) { store_ = std::max(store_, asked); }

    /// @param now The time.
    /// @return Whether the store is to be asked; if so, it counts as asked.
    bool ask_store(instant now)
    {
        if (now - store_ < settings_.ask_after ||
            now - asked_ < settings_.ask_again)
            return false;
        asked_ = now;
        return true;
    }

    /// @param now The time.
    /// @return Whether the store's word is too old to count.
    bool store_silent(instant now) const
    {
        return now - store_ > settings_.good_for;
    }

    /// @param now The time.
    /// @param entries When the entries that could have taken the part were
    /// asked whether they have, and all had not; zero: some did not tell.
    /// @return Whether leases may be renewed.
    bool stands(instant now, instant entries) const
    {
        return now - std::max(store_, entries) <= settings_.good_for;
    }

    /// @return Since when an entry must have been heard to be waited for.
    instant heard_since() const { return store_ - settings_.forgotten; }

    /// @return Limits.
    const claim_evidence_settings& settings() const { return settings_; }

private:
    claim_evidence_settings settings_; ///< Limits.
    instant store_{};                  ///< When the store was asked that
                                       ///< confirmed it last.
    instant asked_{};                  ///< Last question to the store.
};

} // namespace glenhollow

#endif
