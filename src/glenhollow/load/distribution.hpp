#ifndef GLENHOLLOW_LOAD_DISTRIBUTION_HPP
#define GLENHOLLOW_LOAD_DISTRIBUTION_HPP

#include "glenhollow/core/random.hpp"
#include "glenhollow/core/result.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace glenhollow
{

/// Random numbers of a named shape, for task lengths and job sizes.
class distribution final
{
public:
    /// @param text One of `N`, `uniform:A,B`, `loguniform:A,B`, `exp:MEAN`,
    /// `choice:V@P,V@P,...`, or a mix: `alpenfluss`, `kiraz`.
    /// @return The distribution, or what is wrong with the text.
    static result<distribution> parse(std::string_view text);

    /// @param random Where the number comes from.
    /// @return One number, 0 or more.
    double draw(random_engine& random) const { return draw_(random); }

private:
    std::function<double(random_engine&)> draw_; ///< Draws one number.
};

} // namespace glenhollow

#endif
