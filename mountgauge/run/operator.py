"""An operator's sender: its file configures the fronts, next hops and optional subsystems."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mountgauge.amqp.clients import AmqpClients
from mountgauge.amqp.next_hops import AmqpNextHops
from mountgauge.clients import Clients
from mountgauge.connections.descriptors import raise_soft, shares
from mountgauge.connections.front import Front
from mountgauge.connections.metrics import ConnectionMetrics, client_metrics
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import default_buffers, default_settings
from mountgauge.core.config import Address, ConfigError
from mountgauge.file_map import FileMap
from mountgauge.log import kv
from mountgauge.next_hops import HttpNextHops
from mountgauge.notices import Notices
from mountgauge.operator_file import Hops, OperatorFile, Otlp, load
from mountgauge.otlp import Exporter
from mountgauge.router import Router
from mountgauge.run.base import Runtime, Source, socket_shares
from mountgauge.run.subsystem import Subsystem
from mountgauge.snapshot import Metric
from mountgauge.status import Report, StatusServer

if TYPE_CHECKING:
    from mountgauge.connections.turn_watch import TurnWatch
    from mountgauge.tenants.service import Tenants

log = logging.getLogger("mountgauge.run")

_MAX_AMQP_CONNECTIONS = 64  # each may have a megabyte of partly received bodies
_BROKER_IDLE_S = 60.0  # without calls, after which the connection to a broker is closed


class TenantsSubsystem(Subsystem):
    """Counts per tenant, shared with the fleet's other members."""

    name = "tenants"

    def __init__(self, tenants: Tenants) -> None:
        self.tenants = tenants

    async def start(self) -> None:
        self.tenants.start()

    def reload(self, file: OperatorFile) -> list[str]:
        return self.tenants.reload(file.tenants) if file.tenants is not None else ["tenant"]

    async def drain(self) -> None:
        await self.tenants.leave()

    def stop(self) -> None:
        self.tenants.close()

    def report(self) -> Mapping[str, Any]:
        return self.tenants.summary()


class ClientsSubsystem(Subsystem):
    """Metrics of the cost of connections."""

    name = "clients"

    def __init__(self, connection_metrics: ConnectionMetrics) -> None:
        self.connection_metrics = connection_metrics

    async def serve(self) -> None:
        self.connection_metrics.baseline()

    def report(self) -> Mapping[str, Any]:
        return self.connection_metrics.report()

    def state(self) -> Mapping[str, Any]:
        self.connection_metrics.sample()
        return self.connection_metrics.state()

    def metrics(self) -> Sequence[Metric]:
        return client_metrics(self.connection_metrics.report())


class StatusSubsystem(Subsystem):
    """The status server on loopback."""

    name = "status"

    def __init__(self, server: StatusServer, address: Address) -> None:
        self.server, self.address = server, address

    async def serve(self) -> None:
        await self.server.listen(self.address)

    def stop(self) -> None:
        self.server.close()


class OtlpSubsystem(Subsystem):
    """Export of metrics over OTLP."""

    name = "otlp"

    def __init__(self, runtime: OperatorRuntime, otlp: Otlp) -> None:
        self.exporter = Exporter(
            otlp.host, otlp.port, otlp.path, otlp.interval, runtime.config.name, runtime.snapshot,
            runtime.tenant_metrics, runtime.measured,
        )  # fmt: skip

    async def serve(self) -> None:
        self.exporter.start()

    def stop(self) -> None:
        self.exporter.close()


def make_operator_runtime(operator: OperatorFile, watch: TurnWatch | None = None) -> OperatorRuntime:
    """Create a file's sender, limited to the descriptors that this process may have."""
    limits = operator.config.limits
    if (had := raise_soft(limits.sockets)) < limits.sockets:
        log.warning("descriptors", extra=kv(wanted=limits.sockets, had=had))
        config = replace(operator.config, limits=replace(limits, sockets=had))
        operator = replace(operator, config=config)
    return OperatorRuntime(operator, watch)


class OperatorRuntime(Runtime):
    """A sender that an operator's file configures."""

    def __init__(self, operator: OperatorFile, watch: TurnWatch | None = None) -> None:
        super().__init__(operator.config, operator.notices)
        self.operator = operator
        self.tenants: Tenants | None = None
        self._pages: dict[str, Report] = {}  # of the status server, by path
        rules = self.config.rules
        _, hops = socket_shares(self.config.limits.sockets, rules.workers)
        self.sender.admission.list_received = True  # the file is the complete list
        http = HttpNextHops(self.sender, rules.connect_timeout, self.config.conn_idle, hops - hops // 2)
        self._amqp_hops = AmqpNextHops(
            self.sender, rules.connect_timeout, _BROKER_IDLE_S, hops // 2, operator.hops.accounts
        )
        self.next_hops = Router({"http": http, "amqp": self._amqp_hops}, operator.hops.protocols)
        self.map = self._make_map()
        self._add_fronts()
        self._add_subsystems(watch)
        self.attach_peers()

    def _make_map(self) -> Source:
        sharding = self.operator.sharding
        if sharding is None:
            file_map = FileMap(self.sender, self.operator, self._apply_hops)
            self.sender.list_lease, file_map.on_lease_renewed = file_map.lease_end_reason, self.sender.release
            return file_map
        from mountgauge.relay.shard_map import ShardMap  # imported only where it is configured
        from mountgauge.run.sharding import ShardingSubsystem

        grace_s = self.config.rules.drain_grace
        found = ShardMap(self.sender, sharding, self.config.name, self.config.state, drain_grace_s=grace_s)
        self.sender.list_lease, found.on_renewed = found.lease_end_reason, self.sender.release
        known = found.known(one.dest for one in self.journal.live.values())
        self.config = replace(self.config, known=known)
        subsystem = ShardingSubsystem(found, sharding, self.sender, self.config.name)
        self.subsystems.append(subsystem)
        self._pages["/shards"] = subsystem.shards_page
        return found

    def _apply_hops(self, hops: Hops) -> None:
        self.next_hops.protocols, self._amqp_hops.accounts = hops.protocols, hops.accounts

    def _add_fronts(self) -> None:
        operator, rules, names = self.operator, self.config.rules, self.config.names
        clients, _ = socket_shares(self.config.limits.sockets, rules.workers)
        share = clients // ((operator.resp is not None) + (operator.amqp is not None))
        buffers = default_buffers(self.config.limits.memory_bytes)
        settings = operator.clients or default_settings(share, _MAX_AMQP_CONNECTIONS, buffers)
        # The system may allow fewer descriptors than the file assumes; next hops and other files keep theirs.
        most_clients, _ = shares(self.config.limits.sockets, rules.workers)
        self.registry = Registry(replace(settings, most=min(settings.most, most_clients)))
        if operator.resp is not None:
            deadlines = [message_class.deadline for message_class in rules.message_classes]
            resp = Clients(
                self.sender.submit, names.class_names, settings.most_resp, deadlines=deadlines,
                access=operator.access, registry=self.registry,
            )  # fmt: skip
            self.listeners.append((resp, operator.resp))
            self.add_console(resp)
        if operator.amqp is not None:
            amqp = AmqpClients(
                self.sender.submit, names.class_names, rules.message_classes, settings.most_amqp,
                operator.access, operator.amqp.heartbeat, operator.amqp.exchange, self.registry,
                max_held_bytes=default_buffers(self.config.limits.memory_bytes),
            )  # fmt: skip
            self.fronts["amqp"] = amqp
            self.listeners.append((amqp, operator.amqp.listen))
            if operator.resp is None:
                self.add_console(None)

    def _add_subsystems(self, watch: TurnWatch | None) -> None:
        """Add the subsystems that the file's sections enable."""
        operator = self.operator
        pages = self._pages
        if operator.tenants is not None:
            from mountgauge.tenants.service import Tenants  # with its libraries, only where configured

            self.tenants = Tenants(operator.tenants, self.config.name, self.config.state)
            self.sender.admission.gate = self.tenants
            self.subsystems.append(TenantsSubsystem(self.tenants))
            pages["/tenants"] = self.tenants.report
        if operator.budgets is not None and self.tenants is not None:
            from mountgauge.run.budgets import BudgetsSubsystem

            budgets = BudgetsSubsystem(
                operator.budgets, self.sender, self.tenants, self.config.name, self.config.state
            )
            self.subsystems.append(budgets)
            pages["/budgets"] = budgets.budgets.report
        if operator.comeback:
            from mountgauge.run.recovery import RecoverySubsystem

            peers = self.tenants.peers() if self.tenants is not None else None
            self.subsystems.append(RecoverySubsystem(self, peers))
        named = {"amqp" if isinstance(one, AmqpClients) else "resp": one for one, _ in self.listeners}
        fronts = {name: front for name, front in named.items() if isinstance(front, Front)}
        self.subsystems.append(ClientsSubsystem(ConnectionMetrics(self.registry, fronts, watch)))
        if operator.status is not None:
            self.subsystems.append(StatusSubsystem(StatusServer(self.report, pages), operator.status))
        if operator.otlp is not None:
            self.subsystems.append(OtlpSubsystem(self, operator.otlp))

    def warn(self) -> None:
        if self.operator.amqp is not None and not self.operator.access.users:
            log.warning("amqp-open", extra=kv(why="no users: anyone may log in, to any virtual host"))

    def tenant_metrics(self) -> dict[str, Any]:
        """The metrics of the tenants, for the export."""
        return {} if self.tenants is None else self.tenants.metrics()

    def measured(self) -> list[Metric]:
        """The metrics of all subsystems, for the export."""
        return [one for subsystem in self.subsystems for one in subsystem.metrics()]

    def reload(self) -> None:
        try:
            operator = load(self.operator.path)
        except ConfigError as error:
            self.reload_retry.failed(error)
            return
        old, self.operator, self.config = self.operator, operator, operator.config
        if isinstance(self.notices, Notices) and operator.notices not in (None, old.notices):
            self.notices.move(operator.notices)
        for listener, _ in self.listeners:
            if isinstance(listener, Clients | AmqpClients):
                listener.access = operator.access
            if isinstance(listener, AmqpClients) and operator.amqp is not None:
                listener.heartbeat, listener.exchange = operator.amqp.heartbeat, operator.amqp.exchange
        self.map.snapshot()
        needs = [
            name
            for name in ("resp", "status", "otlp", "clients")
            if getattr(operator, name) != getattr(old, name)
        ]
        needs += [
            name for name in ("console", "state", "limits", "settings")
            if getattr(operator.config, name) != getattr(old.config, name)
        ]  # fmt: skip
        if getattr(operator.amqp, "listen", None) != getattr(old.amqp, "listen", None):
            needs.append("amqp.listen")
        if operator.comeback != old.comeback:
            needs.append("comeback.enabled")
        if self.tenants is None and operator.tenants is not None:
            needs.append("tenant")
        if old.budgets is None and operator.budgets is not None:
            needs.append("budget")
        if old.sharding is None and operator.sharding is not None:
            needs.append("sharding")
        for subsystem in self.subsystems:
            needs += subsystem.reload(operator)
        self._log_reload(needs)
