#pragma once

/// The operators' command-line tool without its `main`: reading the command
/// line, calling daemons and rendering what they answer.

#include "callbuilder.h"
#include "command.h"
#include "commandline.h"
#include "commandrunner.h"
#include "exitcode.h"
#include "logtrace.h"
#include "renderer.h"
#include "transport.h"
