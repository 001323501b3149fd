"""Cluster scheduler for services, batch jobs, gang jobs and calls.

Example of a client:

    from lavenderstall import Client
    cell = Client(["http://10.0.0.1:8000"], token, timeout_s=10.0)
    print(cell.query("show waiting", reads=True).rows)
"""

from importlib import import_module
from typing import Any

# Imported on first use, so that entry instances do not load the client.
MEMBERS = {"Client": "lavenderstall.client", "Entry": "lavenderstall.entry"}

__all__ = ["Client", "Entry"]


def __getattr__(name: str) -> Any:
    """Import and return a public name."""
    if name not in MEMBERS:
        raise AttributeError(f"lavenderstall has no {name!r}, only {', '.join(MEMBERS)}")
    return getattr(import_module(MEMBERS[name]), name)
