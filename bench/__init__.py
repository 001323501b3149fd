"""Measurements of decisions against a plain scheduler."""
