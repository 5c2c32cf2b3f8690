"""Waits that next hops have required, by the key of the limit: a destination number, or an endpoint id."""

from __future__ import annotations

from collections import OrderedDict


class Waits(OrderedDict[object, float]):
    """Until when each wait lasts, on the sender's clock in seconds. An elapsed wait counts as none."""

    def sweep(self, now: float, most: int) -> None:
        """Check up to `most` waits, those first that were checked longest ago, and drop the elapsed ones."""
        for _ in range(min(most, len(self))):
            limit, until = next(iter(self.items()))
            if until <= now:
                del self[limit]
            else:
                self.move_to_end(limit)
