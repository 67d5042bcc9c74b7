#!/usr/bin/env bash
# Runs the program of a case: run-case.sh PROGRAM RECORD [ARGUMENT]. Exits with its status, or 2 if it cannot run.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-round-2/$1
shift
if [ ! -x "$program" ] || [ ! -x target/bin/jasminehatchd ]; then
  echo "build first: the line build of deploy/system.toml, and review/build-2.sh" >&2
  exit 2
fi
timeout 115 "$program" "$@"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
