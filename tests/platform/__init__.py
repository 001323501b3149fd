"""Tests of the adapter to the users' platform, against an in-memory fake."""

import sys
from pathlib import Path

ADAPTER = str(Path(__file__).resolve().parents[2] / "platform")
if ADAPTER not in sys.path:
    sys.path.append(ADAPTER)
