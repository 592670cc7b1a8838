#include "pathparameters.h"

#include <cstdlib>
#include <utility>

namespace cowslippin {

void
PathParameters::add(std::string name, std::string value)
{
  m_parameters.push_back({ std::move(name), std::move(value) });
}

const std::string&
PathParameters::get(std::string_view name) const
{
  for (const Parameter& parameter : m_parameters) {
    if (parameter.name == name) {
      return parameter.value;
    }
  }
  std::abort();
}

} // namespace cowslippin
