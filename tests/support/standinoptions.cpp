#include "standinoptions.h"

#include <cstdlib>
#include <iostream>

namespace po = boost::program_options;

namespace cowslippin::standins {

namespace {

constexpr int badCommandLine = 2;

[[noreturn]] void
exitWith(const std::string& message)
{
  std::cerr << message << '\n';
  std::exit(badCommandLine);
}

} // namespace

StandinOptions::StandinOptions(const std::string& program)
  : m_description(program)
{
  m_description.add_options()(
    "listen",
    po::value<std::string>()->default_value("127.0.0.1:0"),
    "address to listen at; port 0 lets the kernel choose one");
}

Address
StandinOptions::parse(int argc, char** argv) const
{
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, m_description), values);
    po::notify(values);
  } catch (const po::error& error) {
    exitWith(error.what());
  }
  const Result<Address> listen =
    Address::parse(values["listen"].as<std::string>(), "listen");
  if (!listen) {
    exitWith(listen.error().detail());
  }
  return *listen;
}

} // namespace cowslippin::standins
