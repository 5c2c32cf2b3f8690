#!/bin/sh
# The stand-ins are Python of the standard library: nothing has to be built. This checks that they can be read
# by the interpreter that the deploy file's build leaves.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
exec "$here/../.venv/bin/python" -B - "$here" <<'END'
import ast
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
