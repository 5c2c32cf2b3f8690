"""Loads a relay's placement from its file or the members' file, moves it in steps, and writes each state."""

from __future__ import annotations

import logging

from mountgauge.core.config import ConfigError
from mountgauge.log import kv
from mountgauge.relay.placement_file import PlacementFile, PlacementFileError
from mountgauge.relay.settings import RelayFile
from mountgauge.sharding.members import MemberFile
from mountgauge.sharding.placement import Placement

log = logging.getLogger("mountgauge.relay")


class PlacementKeeper:
    """Owns a relay's placement; `placement` is None if the relay's file has no members."""

    def __init__(self, file: RelayFile) -> None:
        self._file = file
        self._placement_file = PlacementFile(file.state, file.placement) if file.state is not None else None
        self.placement = self._load(file.members) if file.members is not None else None

    def _load(self, members: MemberFile) -> Placement:
        """Return the stored placement updated to the members' file, or a new one if none is stored."""
        placement = self._read()
        if placement is None and members.base_epoch > 1:
            # A placement computed at this epoch differs from that of relays that reached it by moves.
            raise ConfigError(
                f"members: base_epoch is {members.base_epoch}, but no placement is stored here: "
                "copy the file 'placement' of another relay's state folder"
            )
        if placement is None:
            placement = Placement(members, self._file.placement)
        else:
            try:
                placement.adopt(members)
            except ConfigError as error:
                log.error("members-refused", extra=kv(error=error, kept=f"epoch {placement.epoch}"))
        self._write(placement)
        return placement

    def _read(self) -> Placement | None:
        if self._placement_file is None:
            return None
        self._placement_file.make_folder()
        try:
            return self._placement_file.read()
        except PlacementFileError as error:
            log.warning("placement-not-read", extra=kv(error=error))
            return None

    def _write(self, placement: Placement) -> None:
        if self._placement_file is None:
            return
        try:
            self._placement_file.write(placement)
        except OSError as error:
            log.warning("placement-not-kept", extra=kv(error=error))

    def adopt(self, members: MemberFile | None) -> None:
        """Apply a newer members' file; on ConfigError, which means it can't be used, nothing has changed."""
        if self.placement is None or members is None:
            return
        self.placement.adopt(members)
        self._write(self.placement)

    def step(self) -> frozenset[str]:
        """Make the next moves, if any are pending; return the members whose placement changed."""
        placement = self.placement
        if placement is None or not placement.pending:
            return frozenset()
        changed = placement.step()
        self._write(placement)
        log.info("placement", extra=kv(epoch=placement.epoch, revision=placement.revision,
                                       pending=placement.pending))  # fmt: skip
        return changed
