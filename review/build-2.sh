#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They need Python alone, so
# that this only compiles them and fails if one can't be.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/harness review/6 review/7 review/8 review/9
