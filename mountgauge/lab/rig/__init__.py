"""Runs real senders against stand-ins over faulty links, driven by a schedule of faults: see docs/rig.md."""
