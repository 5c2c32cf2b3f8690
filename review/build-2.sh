#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml. Their stand-ins are Python and
# use the standard library alone, so this only compiles them, with the interpreter of that build.
cd "$(dirname "$0")/.." || exit 2
set -e
.venv/bin/python -m py_compile review/stand_ins_2.py
for case in 6 7 8 9 10; do
  if test -f "review/$case/play.py"; then .venv/bin/python -m py_compile "review/$case/play.py"; fi
done
