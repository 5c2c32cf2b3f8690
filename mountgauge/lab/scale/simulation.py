"""Virtual time: an event loop and a network between parties, deterministic for a seed.

The network behaves like TCP: between connected parties no message is lost, and a lost packet delays its
message. A message that is sent while the regions are cut off from each other never arrives. Times are in
seconds, sizes in bytes.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from mountgauge.lab.scale.settings import NetworkSettings

_MAX_RETRANSMITS = 6


class EventLoop:
    """Runs events in order of time; events of the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule `action` for a time; for now if that time has passed."""
        heapq.heappush(self._events, (max(when, self.now), next(self._order), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` for `delay_s` from now."""
        self.at(self.now + delay_s, action)

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end


@dataclass(slots=True)
class Traffic:
    """Counts of what one party has sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0

    @property
    def bytes(self) -> int:
        """Bytes in both directions."""
        return self.sent_bytes + self.received_bytes

    @property
    def messages(self) -> int:
        """Messages in both directions."""
        return self.sent_messages + self.received_messages


@dataclass(slots=True, eq=False)
class Party:
    """One participant of the network: its region, whether it is up, and its traffic."""

    name: str
    region: int
    up: bool = True
    slow_by_s: float = 0.0  # extra delay of each message that it sends
    traffic: Traffic = field(default_factory=Traffic)


class Network:
    """Delays, retransmissions and cuts between parties."""

    def __init__(self, loop: EventLoop, settings: NetworkSettings, rng: random.Random) -> None:
        self._loop, self._settings, self._rng = loop, settings, rng
        self._cut_regions: Counter[int] = Counter()

    def cut(self, region: int) -> None:
        """Cut this region off from the others."""
        self._cut_regions[region] += 1

    def heal(self, region: int) -> None:
        """End one cut of this region."""
        self._cut_regions[region] -= 1

    def connected(self, one: int, other: int) -> bool:
        """Whether messages pass between two regions."""
        return one == other or not (self._cut_regions[one] or self._cut_regions[other])

    def send(self, sender: Party, receiver: Party, size: int, arrive: Callable[[], None]) -> None:
        """Send one message; `arrive` is called when it is received, and never if it is not."""
        sender.traffic.sent_messages += 1
        sender.traffic.sent_bytes += size
        if not self.connected(sender.region, receiver.region):
            return

        def deliver() -> None:
            if receiver.up and self.connected(sender.region, receiver.region):
                receiver.traffic.received_messages += 1
                receiver.traffic.received_bytes += size
                arrive()

        self._loop.after(self._delay(sender, receiver), deliver)

    def _delay(self, sender: Party, receiver: Party) -> float:
        settings = self._settings
        same = sender.region == receiver.region
        delay = settings.zone_delay_s if same else settings.region_delay_s
        delay += self._rng.uniform(0.0, settings.jitter_s) + sender.slow_by_s
        again = settings.retransmit_s
        for _ in range(_MAX_RETRANSMITS):
            if self._rng.random() >= settings.loss:
                break
            delay += again
            again *= 2
        return delay
