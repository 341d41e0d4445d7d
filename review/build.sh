#!/usr/bin/env bash
# Builds the stand-ins of the cases: they need Python's standard library only,
# so that compiling them shows whether they can start.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins/*.py ./*/case.py
