#!/bin/sh
# Builds what the scripts from review/6 on start besides the gateway itself. Their stand-ins are Python files without
# dependencies (review/stand_ins_2.py), so this compiles them once in memory, to find out early if they cannot run here.
cd "$(dirname "$0")" || exit 2
python3 -B - <<'PYTHON' || { echo "Python 3.11 or later is needed" >&2; exit 2; }
import asyncio, pathlib, tomllib
for path in [pathlib.Path("stand_ins_2.py"), *sorted(pathlib.Path(".").glob("[0-9]*/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON
