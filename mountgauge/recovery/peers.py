"""What a restarting member learns from the fleet's gossip; on the platform and without a fleet, nothing."""

from __future__ import annotations


class Peers:
    """The peers of a sender without a fleet: there is none to wait for or to notify."""

    def joined(self) -> bool:
        """Whether peers have answered, as far as this start waits for them."""
        return True

    def announce_phase(self, phase: int) -> None:
        """Publish this member's phase with its gossip, as its index in `phases.Phase`."""

    def members_recovering(self) -> int:
        """The number of peers that are present and not at full service."""
        return 0

    def outdated(self) -> bool:
        """Whether peers have shown that the folder is older than the last state of this name."""
        return False

    def last_known_run(self) -> int:
        """The run number that this name has reached at least, according to peers; 0 if they know none."""
        return 0
