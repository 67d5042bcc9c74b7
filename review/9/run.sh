#!/usr/bin/env bash
exec "$(dirname "$0")/../round-2/run-case.sh" part_case review/9/record.txt long
