"""Real senders, stand-ins and links between them, driven by a schedule of faults: see docs/rig.md."""
