"""Tests of faults below the sender: clocks that are stepped, disks and system calls that fail."""
