#pragma once

#include "memberview.h"
#include "shardtable.h"
