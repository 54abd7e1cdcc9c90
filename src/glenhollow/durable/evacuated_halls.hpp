#ifndef GLENHOLLOW_DURABLE_EVACUATED_HALLS_HPP
#define GLENHOLLOW_DURABLE_EVACUATED_HALLS_HPP

#include <cstdint>
#include <set>
#include <string>

namespace glenhollow
{

/// Whether a hall is evacuated, so that its backend servers get no new work.
struct hall_evacuation
{
    bool evacuated = false;
    std::uint64_t version = 0; ///< The store's version as of which this is
                               ///< known; 0: unknown.
};

/// The halls whose backend servers get no new work, as of one version of the
/// store. Entries read them from the store or from each other. Only a later
/// version replaces an earlier one.
class evacuated_halls final
{
public:
    /// Applies a row of the store that was read or has changed. The result
    /// takes effect with complete().
    /// @param evacuated Whether the row exists.
    void note(const std::string& hall, bool evacuated)
    {
        if (evacuated)
            pending_.insert(hall);
        else
            pending_.erase(hall);
    }

    /// Makes the noted rows current. All rows up to the version must have been
    /// noted.
    /// @param version The store's version.
    /// @return Whether the set of evacuated halls has changed.
    bool complete(std::uint64_t version) { return take(version, pending_); }

    /// Merges the view of another entry.
    /// @param version The store's version as of which the halls are known.
    /// @param halls The evacuated halls as of that version.
    /// @return Whether the set of evacuated halls has changed.
    bool take(std::uint64_t version, const std::set<std::string>& halls)
    {
        if (version <= version_)
            return false;
        version_ = version;
        const bool changed = halls_ != halls;
        halls_ = halls;
        return changed;
    }

    /// @param other The view of another entry.
    /// @return Whether the set of evacuated halls has changed.
    bool take(const evacuated_halls& other)
    {
        return take(other.version_, other.halls_);
    }

    /// @return The store's version as of which the halls are known; 0: unknown.
    std::uint64_t version() const { return version_; }

    const std::set<std::string>& halls() const { return halls_; }

    /// @param hall The hall; empty: unknown, so that its state is unknown.
    /// @return The state of the hall with the version of this view.
    hall_evacuation of(const std::string& hall) const
    {
        if (hall.empty())
            return {};
        return {contains(hall), version_};
    }

    /// @return Whether the hall is evacuated.
    bool contains(const std::string& hall) const
    {
        return halls_.contains(hall);
    }

private:
    std::uint64_t version_ = 0;     ///< The store's version.
    std::set<std::string> halls_;   ///< Evacuated halls as of that version.
    std::set<std::string> pending_; ///< Evacuated halls by the rows noted so
                                    ///< far.
};

} // namespace glenhollow

#endif
