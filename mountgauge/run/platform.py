"""The platform's sender: RESP2 clients, HTTP next hops, discovery's list and notices; set up by GW_CONFIG."""

from __future__ import annotations

import asyncio
import logging
from random import Random

from mountgauge.clients import Clients
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import platform_settings
from mountgauge.core.config import Config, ConfigError
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.core.setting_numbers import NumberedSettings, keep_numbers
from mountgauge.log import kv
from mountgauge.next_hops import HttpNextHops
from mountgauge.notices import Notices
from mountgauge.platform.discovery import TransportMap
from mountgauge.platform.evidence_file import EvidenceFile
from mountgauge.platform.watch_bounds import WatchBounds
from mountgauge.router import Router
from mountgauge.run.base import LoopClock, Runtime, socket_shares
from rillspindle.list_evidence import ListEvidence

log = logging.getLogger("mountgauge.run")

# Between two checks whether waiting calls may be sent: for new evidence, or while an answer is being read.
RECHECK_S, READ_RECHECK_S = 0.02, 0.005
_BRIEF_LEASE_ENDS = (LeaseEnd.ANSWER_UNREAD, LeaseEnd.NO_REQUEST)
_RESTART_ONLY = ("listen", "state", "limits")  # settings that a running process cannot change


class PlatformRuntime(Runtime):
    """A sender that the platform configures through `GW_CONFIG`."""

    def __init__(self, config: Config) -> None:
        super().__init__(config, config.discovery)
        rules, names = config.rules, config.names
        clients, hops = socket_shares(config.limits.sockets, rules.workers)
        http = HttpNextHops(self.sender, rules.connect_timeout, config.conn_idle, hops)
        self.next_hops = Router({"http": http}, {})
        random = Random(config.seed)
        self._evidence = self.sender.monitor.evidence = ListEvidence(rules)
        bounds = WatchBounds.of(rules)
        evidence_file = EvidenceFile(config.state, LoopClock())
        self.discovery = TransportMap(
            self.sender, config.discovery, names, bounds, random, self._evidence, evidence_file
        )
        self._recheck: asyncio.TimerHandle | None = None
        self.sender.list_lease = self._lease_end_reason
        self.sender.admission.isolated = self.discovery.isolated
        self.sender.admission.lacks_list = self.discovery.lacks_list
        self.map = self.discovery
        self.registry = Registry(platform_settings(clients))
        deadlines = [message_class.deadline for message_class in rules.message_classes]
        self.front = Clients(
            self.sender.submit, names.class_names, clients, deadlines=deadlines, registry=self.registry
        )
        self.front.inherited = config.listen_fd
        self.listeners.append((self.front, config.listen))
        self.add_console(self.front)
        self.attach_peers()

    def has_list(self) -> bool:
        return self.discovery.lease_end_reason() is None

    def _lease_end_reason(self, dest: int) -> LeaseEnd | None:
        """Why the list allows no call at present, if so; waiting calls are then retried soon."""
        end_reason = self.discovery.lease_end_reason()
        if end_reason is not None and self._recheck is None:
            pause_s = READ_RECHECK_S if end_reason in _BRIEF_LEASE_ENDS else RECHECK_S
            self._recheck = asyncio.get_running_loop().call_later(pause_s, self._release)
        return end_reason

    def _release(self) -> None:
        self._recheck = None
        self.sender.release()

    def reload(self) -> None:
        try:
            config = Config.load_again(self.config)
        except ConfigError as error:
            self.reload_retry.failed(error)
            return
        old, self.config = self.config, config
        if config.discovery != old.discovery:
            assert isinstance(self.notices, Notices)
            self.notices.move(config.discovery)
            self.discovery.move(config.discovery)
        if config.settings != old.settings:
            self._apply_settings(config)
        needs = [name for name in _RESTART_ONLY if getattr(config, name) != getattr(old, name)]
        for subsystem in self.subsystems:
            needs += subsystem.reload(config)
        self._log_reload(needs)

    def _apply_settings(self, config: Config) -> None:
        in_force = NumberedSettings(self.sender.rules, self.sender.names)
        numbered = keep_numbers(in_force, NumberedSettings(config.rules, config.names))
        rules, names = numbered.rules, numbered.names
        self.sender.apply_settings(rules, names)
        self.discovery.apply_settings(names, WatchBounds.of(rules))
        self._evidence.apply_settings(rules)
        deadlines = [message_class.deadline for message_class in rules.message_classes]
        self.front.set_classes(names.class_numbers(), deadlines)
        classes = ",".join(config.names.class_names)
        log.info("retuned", extra=kv(classes=classes, attempts=rules.attempts_cap))
