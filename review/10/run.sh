#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exit: 0 the rule held, 1 it was broken, 2 could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ -x ../../target/release/merlinshelf ] || exit 2
PYTHONPATH=../lib-2 PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
