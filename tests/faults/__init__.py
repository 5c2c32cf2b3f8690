"""Tests of faults below the sender: stepped clocks, and disks and system calls that fail."""
