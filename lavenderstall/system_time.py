"""Time since boot and the time of day."""

import time


def read_uptime() -> float:
    """Return the monotonic seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_ms() -> float:
    """Return the time of day as Unix time in milliseconds."""
    return time.time() * 1000
