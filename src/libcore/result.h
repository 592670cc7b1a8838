#pragma once

#include "problem.h"

#include <tl/expected.hpp>

namespace cowslippin {

/// A value, or the problem that stood in its way.
template<class T>
using Result = tl::expected<T, Problem>;

/// Wraps a problem so that it converts to any `Result`.
inline tl::unexpected<Problem>
failure(Problem problem)
{
  return tl::unexpected<Problem>(std::move(problem));
}

} // namespace cowslippin
