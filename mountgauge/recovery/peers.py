"""What a fleet's gossip tells a member that comes back; on the platform, and without a fleet, nothing."""

from __future__ import annotations


class Peers:
    """No peers: nobody to wait for, nobody to tell."""

    def joined(self) -> bool:
        """Whether they have been heard, as far as this start waits for it."""
        return True

    def announce_phase(self, phase: int) -> None:
        """This member's phase travels with its gossip: its place among `phases.Phase`."""

    def members_recovering(self) -> int:
        """Peers that are present and not at full service."""
        return 0

    def outdated(self) -> bool:
        """Whether peers have shown that the folder is older than what this name did last."""
        return False

    def last_known_run(self) -> int:
        """The least life that peers show this name to have had before; 0: they show none."""
        return 0
