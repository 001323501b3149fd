"""Scheduling of multi-step jobs over pools of workers, one owner a pool."""
