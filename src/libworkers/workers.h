#pragma once

#include "answertimes.h"
#include "holdreport.h"
#include "leasenote.h"
#include "lifetracker.h"
#include "resources.h"
#include "runkey.h"
#include "unansweredstarts.h"
#include "workerbirth.h"
#include "workerhealth.h"
#include "workerlease.h"
#include "workerorder.h"
#include "workerrecord.h"
