#!/bin/bash
# Builds the stand-ins of the cases, one program a case, into target/review. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -pthread -o "target/review/case-$number" "$case"
done
