#include "glenhollow/configuration/configuration_wire.hpp"

namespace glenhollow
{

void fill(wire::Configuration::Builder out, const configuration& from,
          std::uint64_t since)
{
    const auto keys = from.changed_since(since);
    out.setVersion(from.version());
    auto rows = out.initRows(static_cast<unsigned>(keys.size()));
    for (unsigned i = 0; i < keys.size(); ++i)
    {
        const auto& row = from.rows().at(keys[i]);
        rows[i].setKey(keys[i]);
        rows[i].setValue(row.value);
        rows[i].setVersion(row.version);
        rows[i].setBy(row.by);
        rows[i].setWhen(row.when);
    }
}

bool merge(configuration& into, wire::Configuration::Reader from)
{
    if (from.getVersion() <= into.version())
        return false;
    for (const auto row : from.getRows())
        into.merge_row(row.getKey().cStr(),
                       {row.getValue().cStr(), row.getVersion(),
                        row.getBy().cStr(), row.getWhen()});
    into.set_version(from.getVersion());
    return true;
}

} // namespace glenhollow
