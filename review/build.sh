#!/usr/bin/env bash
# Builds the stand-ins and tests that the scripts start into target/review/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/tests/*_case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$source" -o "target/review/$(basename "$source" .cc)"
done
