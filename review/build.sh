#!/bin/sh
# Builds the stand-ins and clients of the cases into build/review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review/case-$number"
done
