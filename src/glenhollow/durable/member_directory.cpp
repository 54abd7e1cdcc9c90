#include "glenhollow/durable/member_directory.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr duration announce_retry = milliseconds{300};
constexpr std::size_t power_field = 2;

row_key member_key(const std::string& name)
{
    return {std::string(members_table), {}, name};
}

std::string encode_member(const member_row& member)
{
    return json::serialize(json::array{to_name(member.role),
                                       member.where.to_string(), member.power});
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
                           " names no role"};
        BOOST_OUTCOME_TRY(
            auto where,
            host_port::parse(json::value_to<std::string>(fields.at(1))));
        member_row member{row.key.key, *role, where, 0};
        if (fields.size() > power_field) // Rows of before have none.
            member.power = json::value_to<std::uint32_t>(fields[power_field]);
        return member;
    }
    catch (const std::exception& wrong)
    {
        return failure{"the row of member " + row.key.key +
                       " has a wrong form: " + wrong.what()};
    }
}

struct member_announcer::state : std::enable_shared_from_this<state>
{
    state(row_store& rows, journal_chain::delay runs_later, member_row row)
        : store(rows), later(std::move(runs_later)), self(std::move(row))
    {
    }

    row_store& store;           ///< Where rows lie.
    journal_chain::delay later; ///< Runs delayed work.
    member_row self;            ///< This process.
    bool closed = false;        ///< The announcer is gone.

    /// A row that says the same already is left alone.
    void look()
    {
        const auto key = member_key(self.name);
        store.read({key.table, key.part, key.key, {}, 1},
                   [keep = shared_from_this()](const read_result& got)
                   {
                       if (!got.answered)
                           return keep->again();
                       const bool there =
                           !got.rows.empty() &&
                           got.rows.front().key ==
                               member_key(keep->self.name) &&
                           got.rows.front().value == encode_member(keep->self);
                       if (!there)
                           keep->write();
                   });
    }

    void write()
    {
        row_transaction change;
        change.puts.push_back({member_key(self.name), encode_member(self)});
        store.commit(change,
                     [keep = shared_from_this()](const commit_result& got)
                     {
                         if (got.outcome != store_outcome::done)
                             keep->again();
                     });
    }

    void again()
    {
        later(announce_retry,
              [keep = shared_from_this()]
              {
                  if (!keep->closed)
                      keep->look();
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

void member_announcer::begin()
{
    state_->look();
}

} // namespace glenhollow
