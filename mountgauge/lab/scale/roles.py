"""State, messages and costs of each role of the fleet at the full size. Pure functions, no I/O."""

from __future__ import annotations

from mountgauge.budgets.timing import SLICES
from mountgauge.lab.scale.figures import (
    Role,
    Row,
    Term,
    Unit,
    derived,
    from_scale_run,
    from_summary,
    summed,
    unknown,
)
from mountgauge.lab.scale.kept_results import KeptResults
from mountgauge.lab.scale.limits import (
    CHECKS_PER_S,
    EXPORT_EVERY_S,
    FACTS_PER_S,
    LONGEST_PAUSE_S,
    MOST_LIST_BYTES,
    ONE_CORE,
)
from mountgauge.lab.scale.size import FleetSize
from mountgauge.recovery import bounds as recovery_bounds
from mountgauge.sharding import timing
from mountgauge.sharding.timing import RELAY_TIMING, Timing

TICK_S = 0.005  # minimum interval between two turns of a sender (`tick` of an operator's file)


def sender_role(kept: KeptResults, size: FleetSize) -> Role:
    """The state, messages and costs of a sender."""
    slopes, scale = kept.slopes, kept.scale
    all_destinations, own_destinations = float(size.destinations), size.destinations_per_sender
    core, memory, bytes_per_s = size.core_share, size.memory_mb * 1e6, size.kb_per_s * 1e3
    memory_terms = (Term("policy-memory"), Term("sender-memory"))
    changes = (Term("policy-one-change", size.changes_per_s), Term("sender-one-change", size.changes_per_s))
    own_changes_per_s = size.changes_per_s * size.places / size.senders
    own_changes = (Term("policy-one-change", own_changes_per_s), Term("sender-one-change", own_changes_per_s))
    recovery_checks = (Term("recovery-look", CHECKS_PER_S), Term("recovery-facts", FACTS_PER_S))
    start = (Term("discovery-parse"), Term("sender-whole-list"), Term("policy-whole-list"))
    change_bytes = (Term("discovery-list-bytes", size.changes_per_s / all_destinations),)
    list_mechanism, shard_mechanism = (
        "mountgauge.core.sender, rillspindle.policy",
        "mountgauge.sharding.placement, subscription",
    )
    own_origin = f"{size.destinations} x {size.places} places / {size.senders} senders"
    return Role(
        "Sender",
        (
            Row(
                "state: destinations, the whole list",
                derived(all_destinations, Unit.COUNT, "the size"),
                list_mechanism,
            ),
            Row(
                "state: destinations, its shards",
                derived(own_destinations, Unit.COUNT, own_origin),
                shard_mechanism,
            ),
            Row(
                "shards held",
                derived(size.shards * size.places / size.senders, Unit.COUNT, "shards x places / senders"),
                shard_mechanism,
            ),
            Row(
                "memory, the whole list",
                summed(slopes, memory_terms, all_destinations, Unit.BYTES, memory),
                list_mechanism,
            ),
            Row(
                "memory, its shards",
                summed(slopes, memory_terms, own_destinations, Unit.BYTES, memory),
                list_mechanism,
            ),
            Row(
                "processor, changes, the whole list",
                summed(slopes, changes, all_destinations, Unit.CORE, core),
                list_mechanism,
            ),
            Row(
                "processor, changes, its shards",
                summed(slopes, own_changes, own_destinations, Unit.CORE, core),
                list_mechanism,
            ),
            Row(
                "processor, recovery's looks, the whole list",
                summed(slopes, recovery_checks, all_destinations, Unit.CORE, core),
                "mountgauge.recovery.destinations, mountgauge.run.recovery",
            ),
            Row(
                "processor, recovery's looks, its shards",
                summed(slopes, recovery_checks, own_destinations, Unit.CORE, core),
                "mountgauge.recovery.destinations, mountgauge.run.recovery",
            ),
            Row(
                "messages in: changes, the whole list",
                derived(size.changes_per_s, Unit.PER_S, "changes a day"),
                "mountgauge.platform.discovery",
            ),
            Row(
                "messages in and out: asks of its relay",
                derived(1 / Timing().wait_s, Unit.PER_S, "1 / wait"),
                shard_mechanism,
            ),
            Row(
                "messages in: changes, its shards",
                derived(own_changes_per_s, Unit.PER_S, "changes x places / senders"),
                shard_mechanism,
            ),
            Row(
                "bytes in: changes, the whole list",
                summed(slopes, change_bytes, all_destinations, Unit.BYTES_PER_S, bytes_per_s),
                "mountgauge.platform.discovery",
            ),
            Row(
                "a start, the whole list",
                summed(slopes, start, all_destinations, Unit.SECONDS, size.ready_s),
                list_mechanism,
            ),
            Row(
                "a start, its shards",
                summed(slopes, start, own_destinations, Unit.SECONDS, size.ready_s),
                list_mechanism,
            ),
            Row(
                "control in all: processor",
                from_scale_run(scale, "cpu_share", Unit.CORE, 1, core),
                shard_mechanism,
            ),
            Row(
                "control in all: memory",
                from_scale_run(scale, "mb", Unit.BYTES, 1e6, memory),
                shard_mechanism,
            ),
            Row(
                "control in all: bytes",
                from_scale_run(scale, "kb_s", Unit.BYTES_PER_S, 1e3, bytes_per_s),
                shard_mechanism,
            ),
            Row(
                "control in all: messages in and out",
                from_scale_run(scale, "messages_s", Unit.PER_S, 1, None),
                shard_mechanism,
            ),
            Row(
                "events in, and calls out",
                derived(size.events_per_sender_s, Unit.PER_S, "events / senders"),
                "mountgauge.clients, mountgauge.amqp.clients, mountgauge.next_hops",
            ),
            Row(
                "processor, events",
                unknown(Unit.CORE, "a load run of one real sender at this rate"),
                "mountgauge.core.sender",
            ),
            Row("machines", derived(size.senders, Unit.COUNT, "the size"), "mountgauge.agent"),
        ),
    )


def relay_role(kept: KeptResults, size: FleetSize) -> Role:
    """The configuration relays, from the size and the scale run."""
    scale, zones = kept.scale, size.zones
    mechanism, zone_relay, upper = (
        "mountgauge.relay.server, mountgauge.sharding.relay",
        "one a zone",
        "above the zones",
    )
    changes_out_per_s = size.changes_per_s * size.places / zones
    all_destinations = float(size.destinations)
    return Role(
        "Configuration relay",
        (
            Row(
                "machines",
                derived(zones + size.upper_relays, Unit.COUNT, "zones + upper relays", size.control_machines),
                mechanism,
            ),
            Row(
                "machines, by load",
                from_summary(scale, "control_machines", Unit.COUNT, size.control_machines),
                mechanism,
            ),
            Row(
                "state: the whole list, as text",
                summed(kept.slopes, (Term("discovery-list-bytes"),), all_destinations, Unit.BYTES),
                mechanism,
            ),
            Row(
                "state: senders of a zone",
                derived(size.senders_per_zone, Unit.COUNT, "senders / zones"),
                mechanism,
            ),
            Row(
                "messages in and out: asks, a zone's relay",
                derived(size.senders_per_zone / Timing().wait_s, Unit.PER_S, "senders of a zone / wait"),
                mechanism,
            ),
            Row("messages in: changes", derived(size.changes_per_s, Unit.PER_S, "changes a day"), mechanism),
            Row(
                "messages out: changes, a zone's relay",
                derived(changes_out_per_s, Unit.PER_S, "changes x places / zones"),
                mechanism,
            ),
            Row(
                "messages out in a burst",
                derived(changes_out_per_s * size.burst, Unit.PER_S, f"the same, {size.burst:g} times"),
                mechanism,
            ),
            Row(
                f"processor, {zone_relay}",
                from_scale_run(scale, "zone_relay_cpu_share", Unit.CORE, 1, ONE_CORE),
                mechanism,
            ),
            Row(
                f"processor, {upper}",
                from_scale_run(scale, "upper_relay_cpu_share", Unit.CORE, 1, ONE_CORE),
                mechanism,
            ),
            Row(
                f"memory, {zone_relay}",
                from_scale_run(scale, "zone_relay_mb", Unit.BYTES, 1e6, None),
                mechanism,
            ),
            Row(
                f"memory, {upper}", from_scale_run(scale, "upper_relay_mb", Unit.BYTES, 1e6, None), mechanism
            ),
            Row(
                f"bytes, {zone_relay}",
                from_scale_run(scale, "zone_relay_kb_s", Unit.BYTES_PER_S, 1e3, None),
                mechanism,
            ),
            Row(
                f"bytes, {upper}",
                from_scale_run(scale, "upper_relay_kb_s", Unit.BYTES_PER_S, 1e3, None),
                mechanism,
            ),
            Row(
                "a change in force, p99",
                from_summary(scale, "config_p99_s", Unit.SECONDS, size.in_force_s),
                mechanism,
            ),
            Row(
                "a change in force, worst",
                from_summary(scale, "config_worst_s", Unit.SECONDS, size.in_force_s),
                mechanism,
            ),
            Row("changes never in force", from_summary(scale, "stale", Unit.COUNT, None), mechanism),
            *_staleness_rows(size),
            Row(
                "load more, of another relay, where a zone's one is gone",
                derived(1 / (zones - 1), Unit.TIMES, "1 / (zones - 1)", 1.0),
                mechanism,
            ),
        ),
    )


def _staleness_rows(size: FleetSize) -> tuple[Row, ...]:
    """Bounds on the age of data in force, by sharding's formulas, over two relay levels and the sender."""
    hops, delay_s, bound_s = (RELAY_TIMING, RELAY_TIMING, Timing()), size.delay_s, size.in_force_s
    origin = f"formula: {delay_s:g} s of delay, lost messages: {size.losses}"
    formulas = (
        ("a change in force", timing.in_force_within(hops, delay_s, size.losses), "in_force_within"),
        ("a sender's word is old by, in quiet", timing.steady_staleness(hops, delay_s), "steady_staleness"),
        (
            "a relay that is killed is replaced for a sender after",
            timing.relay_replaced_within(Timing(), delay_s, silent=False),
            "relay_replaced_within",
        ),
        (
            "one that falls silent is replaced after",
            timing.relay_replaced_within(Timing(), delay_s, silent=True),
            "relay_replaced_within",
        ),
        (
            "current after a cut has healed",
            timing.current_after_healing(hops, delay_s, size.losses),
            "current_after_healing",
        ),
    )
    return tuple(
        Row(
            f"{label}, by formula",
            derived(value, Unit.SECONDS, origin, bound_s),
            f"mountgauge.sharding.timing.{name}",
        )
        for label, value, name in formulas
    )


def front_role(size: FleetSize) -> Role:
    """A layer in front of the senders, which does not exist: its costs are unknown."""
    mechanism = "none: clients choose a sender (mountgauge.clients, mountgauge.amqp.clients)"
    needed_measurement = "a front layer, and a run with it"
    return Role(
        "Front layer",
        (
            Row("events in", derived(size.events_per_s, Unit.PER_S, "the size"), mechanism),
            Row(
                "events in, a zone",
                derived(size.events_per_s / size.zones, Unit.PER_S, "events / zones"),
                mechanism,
            ),
            Row(
                "state: which senders hold a destination", unknown(Unit.COUNT, needed_measurement), mechanism
            ),
            Row("bytes", unknown(Unit.BYTES_PER_S, needed_measurement), mechanism),
            Row("processor", unknown(Unit.CORE, needed_measurement), mechanism),
            Row("memory", unknown(Unit.BYTES, needed_measurement), mechanism),
            Row("machines", unknown(Unit.COUNT, needed_measurement), mechanism),
        ),
    )


def discovery_role(kept: KeptResults, size: FleetSize) -> Role:
    """The load on discovery, with and without relays."""
    mechanism = "mountgauge.platform.discovery (discovery itself is not part of this project)"
    full_list = (Term("discovery-list-bytes"),)
    restarts = (Term("discovery-list-bytes", size.restarts_per_day / 86_400),)
    destinations = float(size.destinations)
    return Role(
        "Discovery",
        (
            Row("watches, no relays", derived(size.senders, Unit.COUNT, "senders"), mechanism),
            Row(
                "watches, with relays",
                derived(size.upper_relays, Unit.COUNT, "upper relays"),
                "mountgauge.relay.follower",
            ),
            Row(
                "messages out, no relays",
                derived(size.changes_per_s * size.senders, Unit.PER_S, "changes x senders"),
                mechanism,
            ),
            Row(
                "messages out, with relays",
                derived(size.changes_per_s * size.upper_relays, Unit.PER_S, "changes x upper relays"),
                "mountgauge.relay.follower",
            ),
            Row(
                "a whole list",
                summed(kept.slopes, full_list, destinations, Unit.BYTES, MOST_LIST_BYTES),
                "mountgauge.platform.list_exchange.MOST_LIST_BYTES",
            ),
            Row(
                "bytes out for restarts, no relays",
                summed(kept.slopes, restarts, destinations, Unit.BYTES_PER_S),
                mechanism,
            ),
            Row("processor", unknown(Unit.CORE, "a measurement of the operators' discovery"), mechanism),
            Row("memory", unknown(Unit.BYTES, "a measurement of the operators' discovery"), mechanism),
        ),
    )


def agent_role(size: FleetSize) -> Role:
    """The agent on each sender's machine."""
    mechanism, needed_measurement = "mountgauge.agent.Instance", "a probe of one agent with its instances"
    return Role(
        "Agent",
        (
            Row(
                "restarts and replacements",
                derived(size.restarts_per_day / 86_400, Unit.PER_S, "a day's, evenly"),
                "none over machines: mountgauge.agent knows its own",
            ),
            Row("processor", unknown(Unit.CORE, needed_measurement), mechanism),
            Row("memory", unknown(Unit.BYTES, needed_measurement), mechanism),
            Row(
                "messages, bytes",
                derived(0.0, Unit.PER_S, "it says nothing by itself; asked on loopback"),
                mechanism,
            ),
            Row("machines", derived(size.senders, Unit.COUNT, "one beside each sender"), mechanism),
        ),
    )


def budgets_role(kept: KeptResults, size: FleetSize) -> Role:
    """The members that vote on leases of budgets."""
    mechanism, members, bytes_per_s = (
        "mountgauge.budgets.member.Member",
        float(size.senders),
        size.kb_per_s * 1e3,
    )
    rows = []
    for label, probe in (
        ("all members vote", "leases-all-vote"),
        ("one of five voters", "leases-voter"),
        ("a member beside five voters", "leases-member"),
    ):
        bytes_, core = (Term(f"{probe}-bytes"),), (Term(f"{probe}-core"),)
        rows += [
            Row(
                f"bytes out, {label}",
                summed(kept.slopes, bytes_, members, Unit.BYTES_PER_S, bytes_per_s),
                mechanism,
            ),
            Row(
                f"processor, {label}",
                summed(kept.slopes, core, members, Unit.CORE, size.core_share),
                mechanism,
            ),
        ]
    rows += [
        Row(
            "members for each slice of a budget",
            derived(members / SLICES, Unit.COUNT, f"senders / {SLICES} slices", 1.0),
            "mountgauge.budgets.timing.SLICES",
        ),
        Row(
            "memory",
            summed(kept.slopes, (Term("leases-all-vote-memory"),), members, Unit.BYTES, size.memory_mb * 1e6),
            mechanism,
        ),
        Row("machines", derived(0.0, Unit.COUNT, "voters are senders"), mechanism),
    ]
    return Role("Budget voters", tuple(rows), "Two budgets, leases of 4 s, demand above the whole.")


def tenants_role(kept: KeptResults, size: FleetSize) -> Role:
    """The exchange of tenants' counts between members."""
    mechanism, members = "mountgauge.tenants.gossip.node.Gossip", float(size.senders)
    sent, core = (Term("gossip-members-bytes"),), (Term("gossip-members-core"),)
    return Role(
        "Tenants' counts",
        (
            Row(
                "bytes out",
                summed(kept.slopes, sent, members, Unit.BYTES_PER_S, size.kb_per_s * 1e3),
                mechanism,
            ),
            Row("processor", summed(kept.slopes, core, members, Unit.CORE, size.core_share), mechanism),
            Row(
                "memory",
                summed(
                    kept.slopes, (Term("gossip-members-memory"),), members, Unit.BYTES, size.memory_mb * 1e6
                ),
                "mountgauge.tenants.counts.Counts",
            ),
            Row("machines", derived(0.0, Unit.COUNT, "members are senders"), mechanism),
        ),
        "A hundred tenants, 25 messages a second at each member, 5 % loss.",
    )


def telemetry_role(kept: KeptResults, size: FleetSize) -> Role:
    """The export of telemetry."""
    mechanism, members = "mountgauge.otlp.Exporter", float(size.senders)
    export = (Term("telemetry-bytes", 1 / EXPORT_EVERY_S),)
    core = (Term("telemetry-export", 1 / EXPORT_EVERY_S),)
    all_exports = (Term("telemetry-bytes", size.senders / EXPORT_EVERY_S),)
    return Role(
        "Telemetry",
        (
            Row(
                "messages in, at the collectors: exports",
                derived(size.senders / EXPORT_EVERY_S, Unit.PER_S, f"senders / {EXPORT_EVERY_S:g} s"),
                mechanism,
            ),
            Row(
                "bytes out of a sender",
                summed(kept.slopes, export, members, Unit.BYTES_PER_S, size.kb_per_s * 1e3),
                mechanism,
            ),
            Row(
                "processor of a sender",
                summed(kept.slopes, core, members, Unit.CORE, size.core_share),
                mechanism,
            ),
            Row(
                "bytes in, at the collectors",
                summed(kept.slopes, all_exports, members, Unit.BYTES_PER_S),
                mechanism,
            ),
            Row(
                "collectors: memory and machines",
                unknown(Unit.COUNT, "a collector under this load"),
                mechanism,
            ),
        ),
        "A hundred tenants; each member says how old its word of each other member is.",
    )


def data_rows(kept: KeptResults, size: FleetSize) -> tuple[Row, ...]:
    """Messages and journal of one sender."""
    slopes, backlog = kept.slopes, size.backlog_per_sender
    journal, module = "mountgauge.core.journal.Journal", "rillspindle.policy.Policy._pump"
    turns = backlog / recovery_bounds.RESTORED_PER_TURN
    messages_per_destination = backlog / size.destinations_per_sender
    memory = (Term("journal-start-memory"), Term("sender-restore-memory"))
    start = (Term("journal-start"), Term("sender-restore"))
    return (
        Row(
            "events taken and sent",
            derived(size.events_per_sender_s, Unit.PER_S, "events / senders"),
            "the core",
        ),
        Row("messages held", derived(backlog, Unit.COUNT, "backlog / senders"), journal),
        Row(
            "the backlog, in time of all events",
            derived(size.backlog_events / size.events_per_s, Unit.SECONDS, "backlog / events"),
            journal,
        ),
        Row(
            "the backlog, in time of what is down alone",
            derived(
                size.backlog_events / (size.events_per_s * size.down_share),
                Unit.SECONDS,
                "backlog / (events x share down)",
            ),
            journal,
        ),
        Row("memory of what is held", summed(slopes, memory, backlog, Unit.BYTES), journal),
        Row("disk", summed(slopes, (Term("journal-file"),), backlog, Unit.BYTES), journal),
        Row(
            "disk at a compaction: both files",
            summed(slopes, (Term("journal-file", 2),), backlog, Unit.BYTES),
            journal,
        ),
        Row("a start: processor time", summed(slopes, start, backlog, Unit.SECONDS, size.ready_s), journal),
        Row(
            "a start: turns that give it back to the module",
            derived(
                turns * TICK_S,
                Unit.SECONDS,
                f"messages / {recovery_bounds.RESTORED_PER_TURN} a turn of 5 ms",
                size.ready_s,
            ),
            "mountgauge.core.sender.Sender.turn",
        ),
        Row(
            "a compaction: the loop stands still",
            summed(slopes, (Term("journal-compaction"),), backlog, Unit.SECONDS, LONGEST_PAUSE_S),
            journal,
        ),
        Row(
            "an arrival, the backlog spread over its destinations",
            summed(
                slopes,
                (Term("policy-backlog-arrival"),),
                messages_per_destination,
                Unit.SECONDS,
                1 / size.events_per_sender_s,
            ),
            module,
        ),
        Row(
            "an answer while all slots are taken",
            summed(
                slopes, (Term("policy-backlog-answer"),), backlog, Unit.SECONDS, 1 / size.events_per_sender_s
            ),
            "rillspindle.policy.Policy._slot_worth",
        ),
    )
