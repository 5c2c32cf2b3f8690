"""What goes to one next hop in one turn travels in as few calls as its kind allows. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from mountgauge.core.ports import Call, CallItem, NextHop


class CallBatches:
    """The calls of one turn, at most one of each next hop with room for more."""

    def __init__(self, now: float, kind_batch: Sequence[int]) -> None:
        """`kind_batch`: by kind of endpoint, the most messages of one call."""
        self._now, self._kind_batch = now, kind_batch
        self._calls: dict[str, Call] = {}

    def __iter__(self) -> Iterator[Call]:
        return iter(self._calls.values())

    def full(self, hop: NextHop) -> Call | None:
        """The next hop's call where it has no room for another message: to be started now."""
        call = self._calls.get(hop.id)
        return call if call is not None and not self._has_room(call, hop) else None

    def add(self, item: CallItem, hop: NextHop, times_out_at: float) -> Call:
        """The call that the message travels with; it is given up on when the last of them would be."""
        call = self._calls.get(hop.id)
        if call is not None and self._has_room(call, hop):
            call.items.append(item)
            call.times_out_at = max(call.times_out_at, times_out_at)
        else:
            call = self._calls[hop.id] = Call(hop, [item], self._now, times_out_at)
        return call

    def _has_room(self, call: Call, hop: NextHop) -> bool:
        return len(call.items) < self._kind_batch[hop.entry.kind]
