#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// The values of the `{name}` segments of a route's pattern.
class PathParameters
{
public:
  /// Adds the value of the segment `{name}`.
  void add(std::string name, std::string value);

  /// The value of `{name}`. The pattern must have such a segment; the process
  /// is aborted if it has not.
  const std::string& get(std::string_view name) const;

private:
  struct Parameter
  {
    std::string name;
    std::string value;
  };

  std::vector<Parameter> m_parameters;
};

} // namespace cowslippin
