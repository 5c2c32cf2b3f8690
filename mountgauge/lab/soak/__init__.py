"""The soak: real senders of the platform under random, overlapping faults that are drawn from a seed."""
