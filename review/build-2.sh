#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file. Their stand-ins are Python
# programs on the standard library alone, so that this only checks that they can be read.
set -e
cd "$(dirname "$0")/.."
[ -x target/release/merlinshelf ] || { echo "target/release/merlinshelf is missing: build it by the deploy file first" >&2; exit 1; }
for file in review/lib-2/standins.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
