#!/bin/sh
# Builds the stand-ins and the cases of the second review. They need what the
# deploy file's build needs, and no more.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target/review-2
for case in 4 5; do
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -I review \
    "review/$case/case.cpp" -o "review/target/review-2/case-$case" -lpthread
done
