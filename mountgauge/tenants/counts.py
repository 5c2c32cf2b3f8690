"""Replicated counts: for each life of a member and each tenant, how many messages it took on.

A life is one uninterrupted counting of one member: it goes on through restarts as long as its file does.
Only its owner adds to a life, so a replica's state is a map (life, tenant) -> count that only grows, joined
by the larger count: a G-counter (Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types", INRIA 7506, 2011). What one replica lacks of another's is found as in Scuttlebutt
(van Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS 2008):
each change carries its life's next version, and a delta holds what has changed since a version, in that
order, so that any prefix of it can be used. A checksum by life finds what prefixes alone can leave out.

Lives that have ended are folded into `past`, one sum by tenant, once each member holds the same of them;
who is to agree on that is `fleet`'s matter. `past` is named by the set of lives in it, so two replicas
whose `past` has one name hold the same numbers.

Bounds: `most` tenants, `MOST_LIVES` lives (20 bytes a tenant each), `MOST_FOLDED` names of folded lives.
What is over them is turned away and counted in `overfull`.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MOST_LIVES = 512
MOST_FOLDED = 8192
_RECENT = 2048  # changes of a life that are found without a look at all its tenants
_AHEAD = 64  # parts of a life that may lie behind gaps
_MASK = (1 << 63) - 1


class Entry(NamedTuple):
    """One tenant's line of a life. `demand` is what it asked for there, in tenths of a message a second."""

    key: int
    taken: int
    version: int
    demand: int


class Mark(NamedTuple):
    """How far a replica has come with a life: the version, and a checksum of all counts."""

    version: int
    check: int


class Incarnation:
    """One member's counts, as far as this replica knows them."""

    __slots__ = (
        "ahead", "check", "count", "demand", "floor", "id", "learned", "name", "recent", "settled", "version",
        "versions",
    )  # fmt: skip

    def __init__(self, id: int, name: str, room: int) -> None:
        self.id, self.name = id, name
        self.version = self.check = 0
        self.count, self.versions = array("q", bytes(8 * room)), array("q", bytes(8 * room))
        self.demand = array("l", bytes(array("l").itemsize * room))
        self.recent: deque[tuple[int, int]] = deque(maxlen=_RECENT)  # (version, place), rising
        self.floor = 0  # all changes above this version are in `recent`
        self.ahead: list[tuple[int, int]] = []  # ranges of versions that are here, behind a gap
        self.learned: deque[tuple[float, int]] = deque(maxlen=64)  # when it came up to which version
        self.settled = False  # whether what is new of it happened just now, rather than being told late

    @property
    def mark(self) -> Mark:
        return Mark(self.version, self.check)

    @property
    def used(self) -> int:
        return sum(self.count)

    def grow(self, room: int) -> None:
        for numbers in (self.count, self.versions, self.demand):
            numbers.extend([0] * (room - len(numbers)))

    def changed(self, place: int, version: int) -> None:
        self.versions[place] = version
        newest = self.recent[-1][0] if self.recent else self.floor
        if version > newest:
            if len(self.recent) == _RECENT:
                self.floor = self.recent[0][0]
            self.recent.append((version, place))
        else:  # out of order: looked for among all from now on
            self.recent.clear()
            self.floor = newest

    def since(self, version: int) -> list[int]:
        """Places of what changed after this version, in the order of the changes."""
        if version >= self.floor:
            found = []
            for at, place in reversed(self.recent):
                if at <= version:
                    break
                if self.versions[place] == at:
                    found.append(place)
            found.reverse()
            return found
        changed = [place for place, at in enumerate(self.versions) if at > version]
        changed.sort(key=self.versions.__getitem__)
        return changed


class Counts:
    """One replica. `mine` is the life that this process adds to."""

    def __init__(self, keys: Iterable[int], most: int, mine: int, name: str) -> None:
        self.keys = list(keys)
        self.place = {key: place for place, key in enumerate(self.keys)}
        self.most = max(most, len(self.keys))
        self.incarnations: dict[int, Incarnation] = {}
        self.past = [0] * len(self.keys)
        self.folded: OrderedDict[int, Mark] = OrderedDict()
        self.past_id = 0  # the exclusive or of the lives in it
        self.past_lives = 0  # how many those are
        self.total = [0] * len(self.keys)  # all lives and the past, by tenant
        self.fresh = [0] * len(self.keys)  # the same, without what was told late: for quotas
        self.overfull = 0
        life = self.life(mine, name)
        assert life is not None
        self.own = life
        life.settled = True

    # Tenants and lives

    def tenant(self, key: int) -> int | None:
        """A tenant's place, made if there is room."""
        if (place := self.place.get(key)) is not None:
            return place
        if len(self.keys) >= self.most:
            self.overfull += 1
            return None
        self.place[key] = place = len(self.keys)
        self.keys.append(key)
        for numbers in (self.past, self.total, self.fresh):
            numbers.append(0)
        room = max(8, len(self.keys) * 5 // 4)
        for life in self.incarnations.values():
            if len(life.count) < len(self.keys):
                life.grow(room)
        return place

    def life(self, id: int, name: str = "") -> Incarnation | None:
        """A life, made if there is room; None where it has been folded or there is none."""
        if (found := self.incarnations.get(id)) is not None:
            found.name = found.name or name
            return found
        if id in self.folded:
            return None
        if len(self.incarnations) >= MOST_LIVES:
            self.overfull += 1
            return None
        found = self.incarnations[id] = Incarnation(id, name, max(8, len(self.keys)))
        return found

    # Counting

    def add(self, place: int, taken: int, demand: int) -> Entry:
        """This member took on so many more: the life's next version. OverflowError past 2**63 - 1."""
        life = self.own
        version = life.version + 1
        life.count[place] += taken
        life.demand[place] = demand
        life.changed(place, version)
        life.version = version
        life.check = (life.check + taken * self.keys[place]) & _MASK
        self.total[place] += taken
        self.fresh[place] += taken
        return Entry(self.keys[place], life.count[place], version, demand)

    def join(self, id: int, name: str, after: int, upto: int, entries: Iterable[Entry]) -> int:
        """Take in a delta: all that changed in a life after one version, up to another. How many were new.

        Joining is commutative, associative and idempotent in the counts; a delta behind a gap is taken in
        too, only the gap remains to be asked for.
        """
        life = self.life(id, name)
        if life is None:
            return 0
        new = 0
        for key, count, version, demand in entries:
            place = self.tenant(key)
            if place is None:
                continue
            more = count - life.count[place]
            if more > 0:
                new += 1
                life.count[place] = count
                life.check = (life.check + more * key) & _MASK
                self.total[place] += more
                if life.settled:
                    self.fresh[place] += more
            if version > life.versions[place]:
                life.demand[place] = demand
                life.changed(place, version)
        if upto > life.version:
            # What comes behind a gap counts once the gap is closed.
            life.ahead.append((after, upto))
            life.ahead.sort()
            while life.ahead and life.ahead[0][0] <= life.version:
                life.version = max(life.version, life.ahead.pop(0)[1])
            del life.ahead[_AHEAD:]
        return new

    def delta(
        self, life: Incarnation, after: int, room: int, last: int | None = None
    ) -> tuple[int, list[Entry]]:
        """What changed in a life after this version, as much as fits into so many bytes, and up to where.

        `last`: not beyond this version.
        """
        found: list[Entry] = []
        upto = life.version if last is None else min(last, life.version)
        for place in life.since(after):
            if life.versions[place] > upto:
                break
            entry = Entry(self.keys[place], life.count[place], life.versions[place], life.demand[place])
            room -= line_size(entry)
            if room < 0:
                upto = found[-1].version if found else after
                break
            found.append(entry)
        return upto, found

    def reset_mine(self, id: int, name: str) -> Incarnation:
        """Count on under a new life; the old one stays as it is known."""
        life = self.life(id, name)
        assert life is not None
        life.settled = True
        self.own = life
        return life

    def clear(self) -> None:
        """Forget everything but the tenants: to begin anew under a new life."""
        self.incarnations.clear()
        self.folded.clear()
        self.past = [0] * len(self.keys)
        self.total = [0] * len(self.keys)
        self.past_id = self.past_lives = 0

    # Lives that have ended

    def fold(self, id: int) -> None:
        """Add an ended life to the past. Once each, and only when nothing of it is missing."""
        life = self.incarnations.pop(id)
        assert life is not self.own
        for place, count in enumerate(life.count[: len(self.keys)]):
            self.past[place] += count
        self._remember(id, life.mark)

    def _remember(self, id: int, mark: Mark) -> None:
        self.folded[id] = mark
        self.past_id ^= id
        self.past_lives += 1
        if len(self.folded) > MOST_FOLDED:
            self.folded.popitem(last=False)

    def adopt(self, past: dict[int, int], folded: Sequence[tuple[int, Mark]], lives: int, id: int) -> bool:
        """Take another replica's past in place of one's own, which must be a part of it.

        False, with nothing changed, where this replica has folded a life that the other has not.
        """
        names = {one for one, _ in folded}
        if not set(self.folded) <= names or lives < self.past_lives:
            return False
        for one in names & set(self.incarnations):
            if one == self.own.id:
                return False
            del self.incarnations[one]
        places = [(self.tenant(key), count) for key, count in past.items()]
        self.past = [0] * len(self.keys)
        for place, count in places:
            if place is not None:
                self.past[place] = count
        self.folded = OrderedDict(folded)
        self.past_lives, self.past_id = lives, id
        self.total = [
            self.past[p] + sum(life.count[p] for life in self.incarnations.values())
            for p in range(len(self.keys))
        ]
        return True


def line_size(entry: Entry) -> int:
    """Bytes of one line in MessagePack, at most: quicker than by the number."""
    _, taken, version, demand = entry
    return 11 + (3 if taken < 65536 else 9) + (3 if version < 65536 else 9) + (3 if demand < 65536 else 9)


def size(number: int) -> int:
    """Bytes of a whole number in MessagePack, from 0 on (specification, 2013, 'int format family')."""
    return 1 if number < 128 else 2 if number < 256 else 3 if number < 65536 else 5 if number < 1 << 32 else 9
