#!/usr/bin/env bash
exec "$(dirname "$0")/../round-2/run-case.sh" drill_case review/6/record.txt
