#include "measurements.h"

#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

/// Measures what a daemon spends on control, and the slopes of its memory,
/// processor time and traffic: `measure_control [GROUP...]`, by default all
/// groups. docs/CAPACITY.md is worked out from its figures.
int
main(int argc, char** argv)
{
  const std::map<std::string, void (*)()> groups = {
    { "idle", measureIdle },
    { "vm-list", measureVmList },
    { "submissions", measureSubmissions },
    { "claims", measureClaims },
    { "configuration", measureConfiguration },
  };
  std::vector<std::string> chosen(argv + 1, argv + argc);
  for (const std::string& name : chosen) {
    if (groups.count(name) == 0) {
      std::cerr << "no group is named " << name << '\n';
      return 2;
    }
  }
  for (const auto& [name, measure] : groups) {
    if (argc == 1) {
      chosen.push_back(name);
    }
  }
  // Unwinding ends the processes that were started.
  try {
    for (const std::string& name : chosen) {
      std::cout << "\n== " << name << std::endl;
      groups.at(name)();
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
