#pragma once

#include "incarnationtracker.h"
#include "leaseevents.h"
#include "ordertimeouts.h"
#include "resources.h"
#include "runkey.h"
#include "unansweredstarts.h"
#include "workerboottime.h"
#include "workerhealth.h"
#include "workerlease.h"
#include "workerorder.h"
#include "workerrecord.h"
#include "workerreport.h"
