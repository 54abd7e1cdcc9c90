#include "glenhollow/core/port_file.hpp"

#include <cstdio>
#include <fstream>

namespace glenhollow
{

result<void> write_port_file(const std::string& path,
                             std::initializer_list<std::uint16_t> ports)
{
    if (path.empty())
        return outcome::success();
    const std::string unfinished = path + ".new";
    std::ofstream out(unfinished);
    const char* gap = "";
    for (const auto port : ports)
    {
        out << gap << port;
        gap = " ";
    }
    out << "\n";
    out.close();
    if (!out || std::rename(unfinished.c_str(), path.c_str()) != 0)
        return failure{"cannot write the port file " + path};
    return outcome::success();
}

} // namespace glenhollow
