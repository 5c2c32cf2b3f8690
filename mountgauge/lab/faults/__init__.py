"""Injects faults into the sockets, files and clocks that a sender uses, for tests and the lab."""
