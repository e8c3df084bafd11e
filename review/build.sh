#!/bin/sh
# Builds the stand-ins and clients of the cases into build/review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for number in 1 2 3; do
  if [ -f "review/$number/case.cpp" ]; then
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "review/$number/case.cpp" -o "build/review/case-$number"
  fi
done
