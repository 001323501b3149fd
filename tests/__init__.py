"""Tests of lavenderstall; each file mirrors one module."""

from hypothesis import settings

# Derandomised examples give the same verdict on each run.
settings.register_profile("repeatable", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("repeatable")
