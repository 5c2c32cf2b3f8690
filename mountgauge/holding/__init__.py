"""Holding clients' connections, many of them idle: see docs/idle.md.

`wheel`, `seats`, `turns`, `budget` and `settings` decide, without I/O or clock; `keeper`, `line` and `door`
touch sockets; `front` is what both fronts build on, `vitals` tells what it all costs.
"""
