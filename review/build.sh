#!/usr/bin/env bash
# Builds the stand-ins: they are Python without further packages, so this checks that they compile. It needs
# the build of the deploy file and no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
