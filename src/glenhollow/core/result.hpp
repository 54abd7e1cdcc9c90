#ifndef GLENHOLLOW_CORE_RESULT_HPP
#define GLENHOLLOW_CORE_RESULT_HPP

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace glenhollow
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Why something could not be made or done, in words for a person.
struct failure
{
    std::string text; ///< One line, names the field and the allowed range.
};

/// A value, or the reason why there is none.
template <class T>
using result = outcome::result<T, failure, outcome::policy::all_narrow>;

} // namespace glenhollow

#endif
