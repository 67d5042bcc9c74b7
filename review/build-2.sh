#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-round-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-round-2
for source in review/round-2/tests/*_case.cc; do
  ${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/review-round-2/$(basename "$source" .cc)"
done
