#include "glenhollow/durable/member_directory.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <utility>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr duration announce_retry = milliseconds{300};
constexpr std::size_t memo_field = 2;
constexpr std::size_t millicores_field = 3;

/// Memos that change within this time are written once. A backend server that
/// restarts in a loop must not cause a write per restart.
constexpr duration memo_write_delay = seconds{2};

row_key member_key(const std::string& name)
{
    return {std::string(members_table), {}, name};
}

std::string encode_member(const member_row& member)
{
    json::array fields{to_name(member.role), member.where.to_string()};
    if (!member.memo.empty() || member.millicores > 0)
        fields.emplace_back(member.memo);
    if (member.millicores > 0)
        fields.emplace_back(member.millicores);
    return json::serialize(fields);
}

} // namespace

result<member_row> decode_member(const stored_row& row)
{
    try
    {
        const auto value = json::parse(row.value);
        const auto& fields = value.as_array();
        const auto role =
            from_name<member_role>(json::value_to<std::string>(fields.at(0)));
        if (!role)
            return failure{"the row of member " + row.key.key +
                           " has an unknown role; allowed are entry and agent"};
        BOOST_OUTCOME_TRY(
            auto where,
            host_port::parse(json::value_to<std::string>(fields.at(1))));
        member_row member{row.key.key, *role, where, {}, 0};
        if (fields.size() > memo_field) // Rows of older versions have none.
            member.memo = json::value_to<std::string>(fields[memo_field]);
        if (fields.size() > millicores_field)
            member.millicores =
                json::value_to<std::uint32_t>(fields[millicores_field]);
        return member;
    }
    catch (const std::exception& wrong)
    {
        return failure{"the row of member " + row.key.key +
                       " is malformed: " + wrong.what()};
    }
}

struct member_announcer::state : std::enable_shared_from_this<state>
{
    state(row_store& rows, journal_chain::delay delay, member_row row)
        : store(rows), later(std::move(delay)), self(std::move(row))
    {
    }

    row_store& store;
    journal_chain::delay later;
    member_row self;      ///< Row of this process.
    memo_handler on_memo; ///< Receives the previous process's memo.
    bool busy = false;    ///< Whether a read or a write is in progress.
    bool memo_write_scheduled = false;
    bool closed = false; ///< Whether the announcer was destroyed.

    /// Reads the row, and writes it only if it differs.
    void check_row()
    {
        busy = true;
        const auto key = member_key(self.name);
        store.read({key.table, key.part, key.key, {}, 1},
                   [keep = shared_from_this()](const read_result& got)
                   {
                       if (keep->closed)
                           return;
                       if (!got.answered)
                           return keep->retry_later();
                       keep->row_checked(got);
                   });
    }

    void row_checked(const read_result& got)
    {
        const bool there =
            !got.rows.empty() && got.rows.front().key == member_key(self.name);
        if (there)
            load_memo(got.rows.front());
        if (!there || got.rows.front().value != encode_member(self))
            write();
        else
            busy = false;
    }

    void load_memo(const stored_row& row)
    {
        const auto handler = std::exchange(on_memo, {});
        const auto before = decode_member(row);
        if (!handler || !before || before.value().memo.empty())
            return;
        if (self.memo.empty())
            self.memo = before.value().memo;
        handler(before.value().memo);
    }

    void write()
    {
        const auto value = encode_member(self);
        row_transaction change;
        change.puts.push_back({member_key(self.name), value});
        store.commit(
            change,
            [keep = shared_from_this(), value](const commit_result& got)
            {
                const bool current = value == encode_member(keep->self);
                if (got.outcome != store_outcome::done || !current)
                    return keep->retry_later();
                keep->busy = false;
            });
    }

    /// Schedules a write of the memo. A memo set while a write is in progress
    /// is written after it.
    void keep_memo(std::string memo)
    {
        if (memo == self.memo)
            return;
        self.memo = std::move(memo);
        if (std::exchange(memo_write_scheduled, true))
            return;
        later(memo_write_delay,
              [keep = shared_from_this()]
              {
                  keep->memo_write_scheduled = false;
                  if (!keep->closed && !keep->busy)
                      keep->check_row();
              });
    }

    void retry_later()
    {
        later(announce_retry,
              [keep = shared_from_this()]
              {
                  if (!keep->closed)
                      keep->check_row();
              });
    }
};

member_announcer::member_announcer(row_store& store, journal_chain::delay later,
                                   member_row self)
    : state_(std::make_shared<state>(store, std::move(later), std::move(self)))
{
}

member_announcer::~member_announcer()
{
    state_->closed = true;
}

void member_announcer::begin(memo_handler on_memo)
{
    state_->on_memo = std::move(on_memo);
    state_->check_row();
}

void member_announcer::keep(std::string memo)
{
    state_->keep_memo(std::move(memo));
}

} // namespace glenhollow
