#include "exitcode.h"

namespace cowslippin {

const char exitCodeHelp[] =
  "Exit codes:\n"
  "  0  done\n"
  "  1  the work failed or may have run\n"
  "  2  the command line is wrong; nothing was sent\n"
  "  3  refused; nothing ran\n"
  "  4  the daemon cannot be reached; this call changed nothing\n"
  "  5  another revision of the configuration came first\n"
  "  6  the job is not finished yet\n";

} // namespace cowslippin
