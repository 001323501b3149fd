#!/bin/sh
# Checks that the stand-ins of the cases compile; they need nothing but Python's own library.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target
PYTHONPYCACHEPREFIX=target/review exec python3 -m compileall -q review
