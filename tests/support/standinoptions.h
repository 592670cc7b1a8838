#pragma once

#include "libcore/core.h"

#include <boost/program_options.hpp>

#include <string>

namespace cowslippin::standins {

/// The command line of a stand-in program. Every one takes `--listen`.
class StandinOptions
{
public:
  explicit StandinOptions(const std::string& program);

  /// To add further options to.
  boost::program_options::options_description& description()
  {
    return m_description;
  }

  /// Reads the command line and returns the address to listen at. A bad
  /// command line ends the process with exit code 2.
  Address parse(int argc, char** argv) const;

private:
  boost::program_options::options_description m_description;
};

} // namespace cowslippin::standins
