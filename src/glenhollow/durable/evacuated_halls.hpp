#ifndef GLENHOLLOW_DURABLE_EVACUATED_HALLS_HPP
#define GLENHOLLOW_DURABLE_EVACUATED_HALLS_HPP

#include <cstdint>
#include <set>
#include <string>

namespace glenhollow
{

/// Whether a hall gets no new work.
struct hall_evacuation
{
    bool evacuated = false;    ///< It gets none.
    std::uint64_t version = 0; ///< Of the store, when it was so; 0: unknown.
};

/// The halls whose backend servers get no new work, as of one version of the
/// store. Entries read it there or learn it from each other; a later version
/// replaces an earlier one, never the reverse.
class evacuated_halls final
{
public:
    /// A row of the store was read or has changed.
    /// @param hall Which hall the row is about.
    /// @param evacuated Whether the row is there.
    void note(const std::string& hall, bool evacuated)
    {
        if (evacuated)
            pending_.insert(hall);
        else
            pending_.erase(hall);
    }

    /// All rows up to a version were noted.
    /// @param version The store's.
    /// @return Whether other halls are evacuated now.
    bool complete(std::uint64_t version) { return take(version, pending_); }

    /// Another entry has told what it knows.
    /// @param version The store's, when it was so.
    /// @param halls That were evacuated.
    /// @return Whether other halls are evacuated now.
    bool take(std::uint64_t version, const std::set<std::string>& halls)
    {
        if (version <= version_)
            return false;
        version_ = version;
        const bool changed = halls_ != halls;
        halls_ = halls;
        return changed;
    }

    /// @param other What another entry has told.
    /// @return Whether other halls are evacuated now.
    bool take(const evacuated_halls& other)
    {
        return take(other.version_, other.halls_);
    }

    /// @return The store's version when it was so; 0: nothing is known.
    std::uint64_t version() const { return version_; }

    /// @return The evacuated halls.
    const std::set<std::string>& halls() const { return halls_; }

    /// @param hall A hall; empty: not known, and nothing is said of it.
    /// @return Whether it is evacuated, as of which version.
    hall_evacuation of(const std::string& hall) const
    {
        if (hall.empty())
            return {};
        return {contains(hall), version_};
    }

    /// @param hall A hall.
    /// @return Whether it is evacuated.
    bool contains(const std::string& hall) const
    {
        return halls_.contains(hall);
    }

private:
    std::uint64_t version_ = 0;     ///< Of the store.
    std::set<std::string> halls_;   ///< As of that version.
    std::set<std::string> pending_; ///< As noted so far.
};

} // namespace glenhollow

#endif
