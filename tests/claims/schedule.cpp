#include "schedule.h"

#include <ostream>

namespace cowslippin {

std::ostream&
operator<<(std::ostream& out, const Step& step)
{
  constexpr const char* names[] = { "Submit",  "Append", "LandLate", "Read",
                                    "GiveUp",  "Start",  "Decline",  "Restart",
                                    "Advance", "Drop" };
  return out << names[static_cast<std::size_t>(step.kind)] << " daemon "
             << step.daemon << " key " << step.key << " choice " << step.choice;
}

} // namespace cowslippin
