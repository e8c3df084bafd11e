#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2/. Run it after the build command of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case-2.cpp; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common-2 "$source" -o "build/review-2/case-$number"
done
