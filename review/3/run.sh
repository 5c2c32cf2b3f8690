#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../../.venv/bin/python" ] || { echo "not built"; exit 2; }
exec "$here/../../.venv/bin/python" -B "$here/case.py"
