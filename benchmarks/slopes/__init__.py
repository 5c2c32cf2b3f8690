"""Measures how costs grow: each subsystem's processor time and memory by destinations, members and messages.

    python -m benchmarks.slopes [--quick] [--json FILE] [--only NAME]

Each subsystem has a module with its probes; `probe` measures, and `report` fits, prints and writes results.
"""
