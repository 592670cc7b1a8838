#pragma once

/// A daemon's settings, read from flags and environment variables and checked.

#include "daemonsettings.h"
#include "settingsreader.h"
