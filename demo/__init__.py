"""Demonstration of one cell on loopback, with faults."""
