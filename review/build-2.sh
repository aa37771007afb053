#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python without further packages and need only compiling.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/standins-2
