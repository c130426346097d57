#!/bin/sh
# Builds what the scripts need beside the build of the deploy file. All stand-ins
# are Python (standard library only), so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]: ast.parse(open(name).read(), name)' lib/*.py */case.py
