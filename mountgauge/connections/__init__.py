"""Clients' connections, many of them idle: see docs/idle.md.

`timer_wheel`, `admission`, `scheduler`, `budget` and `settings` contain the decisions, without I/O or a
clock; `registry`, `connection` and `acceptor` use sockets; `front` is the base of the RESP2 and AMQP fronts,
`metrics` reports what the connections cost.
"""
