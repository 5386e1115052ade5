"""Fake backend servers and callers, used by tests and measurements."""
