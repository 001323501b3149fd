#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They need Python alone, so
# that this only compiles them and fails if one can't be.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/harness review/11
