"""Measurements of each subsystem: each module runs by itself, `python -m benchmarks.NAME`."""
