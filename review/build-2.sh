#!/bin/bash
# Builds the stand-ins and clients of the cases 4 to 8 into target/review-2/. Needs the C++ compiler that
# the build of deploy/system.toml names, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
