"""Placement policies, one kind of work a module."""
