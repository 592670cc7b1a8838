#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 to review/11 start, beside
# the daemon in target/. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -I review/standin-3 \
  review/standin-3/main.cpp -o target/review-3/casebench -lpthread
