"""Steady time that goes on while the machine is suspended."""

import time


def read_uptime() -> float:
    """Return seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_ms() -> float:
    """Return the time of day in Unix milliseconds."""
    return time.time() * 1000
