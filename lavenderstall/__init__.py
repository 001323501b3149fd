"""Schedules services, batch runs, gang jobs and calls over the workers of a cell."""
