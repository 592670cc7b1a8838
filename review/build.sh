#!/usr/bin/env bash
# Builds the stand-ins of the cases, or those that are named, from the libraries
# of the project's build in build/, into review/build/.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -e build/tests/support/libtest_support.a ]; then
  cmake -S . -B build -DCMAKE_BUILD_TYPE=Release
  cmake --build build -j4 --target test_support asynchttp cowslippind-platform
fi

programs=("$@")
[ "${#programs[@]}" -gt 0 ] || programs=(foreignentry latestart cutzone)
mkdir -p review/build
libraries=(build/tests/support/libtest_support.a
  build/src/libasynchttp/libasynchttp.a build/src/libhttp/libhttp.a
  build/src/libobserve/libobserve.a build/src/libcore/libcore.a)
for program in "${programs[@]}"; do
  g++ -std=c++17 -O1 -DBOOST_ALL_DYN_LINK -Isrc -Itests -Ireview/standins \
    review/standins/standins.cpp review/standins/peerrelay.cpp \
    review/standins/minionrelay.cpp \
    "review/standins/$program.cpp" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -lcxxtools-http -lcxxtools -lboost_program_options -lboost_log \
    -lboost_thread -lboost_system -lprometheus-cpp-core -lpthread \
    -o "review/build/$program"
done
