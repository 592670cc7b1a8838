#pragma once

/// Each measures one group of figures with real daemons and stand-ins on
/// loopback and prints them.

/// An idle daemon, among 3, 9 and 18 in three zones.
void
measureIdle();

/// An idle daemon by the length of the VM list.
void
measureVmList();

/// Processor time and memory of requests and jobs at the daemon that runs them.
void
measureSubmissions();

/// What claims made by one daemon cost another of its region.
void
measureClaims();

/// What organisations, templates and their changes cost a daemon.
void
measureConfiguration();
