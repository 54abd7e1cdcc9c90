#ifndef GLENHOLLOW_CORE_SUBMISSION_ID_HPP
#define GLENHOLLOW_CORE_SUBMISSION_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace glenhollow
{

/// Names one submission and the entry incarnation that minted it, written
/// `<hall>.<entry>.<incarnation>.<sequence>`.
struct submission_id
{
    std::string hall;              ///< Hall of the minting entry.
    std::string entry;             ///< Name of the minting entry.
    std::uint64_t incarnation = 0; ///< Random number of the entry's start.
    std::uint64_t sequence = 0;    ///< Counts from 1 in an incarnation.

    /// @return The id as callers see it.
    std::string to_string() const;

    /// @param text An id as callers send it.
    /// @return The id, or nothing where the text is not one.
    static std::optional<submission_id> parse(std::string_view text);

    bool operator==(const submission_id&) const = default;
};

/// @param text A name of a hall, entry, runner, VM or team.
/// @return Whether it has 1 to 64 of the letters a-z A-Z 0-9 _ and -.
bool is_name(std::string_view text);

/// One task of one submission of a known entry incarnation.
struct task_key
{
    std::uint64_t sequence = 0; ///< Sequence of the submission.
    std::uint32_t task = 0;     ///< Place in the job, from 0.

    auto operator<=>(const task_key&) const = default;
};

/// Hashes a task key.
struct task_key_hash
{
    /// @param key The key.
    /// @return Its hash.
    std::size_t operator()(const task_key& key) const
    {
        return std::hash<std::uint64_t>{}(key.sequence * 0x9e3779b97f4a7c15ULL +
                                          key.task);
    }
};

} // namespace glenhollow

#endif
