"""What each role of the fleet holds, says and spends at the full size. Pure."""

from __future__ import annotations

from mountgauge.budgets.timing import SLICES
from mountgauge.lab.scale.figures import (
    Role,
    Row,
    Term,
    Unit,
    of_scale_run,
    of_summary,
    plain,
    summed,
    unknown,
)
from mountgauge.lab.scale.kept_results import KeptResults
from mountgauge.lab.scale.limits import (
    EXPORT_EVERY_S,
    FACTS_PER_S,
    LONGEST_PAUSE_S,
    LOOKS_PER_S,
    MOST_LIST_BYTES,
    ONE_CORE,
)
from mountgauge.lab.scale.size import FleetSize
from mountgauge.recovery import bounds as recovery_bounds
from mountgauge.sharding import timing
from mountgauge.sharding.timing import RELAY_TIMING, Timing

TICK_S = 0.005  # between two turns of a sender, at least (`tick` of an operator's file)


def sender_role(kept: KeptResults, size: FleetSize) -> Role:
    slopes, scale = kept.slopes, kept.scale
    whole, part = float(size.destinations), size.destinations_per_sender
    core, memory, kb_s = size.core_share, size.memory_mb * 1e6, size.kb_per_s * 1e3
    memory_terms = (Term("policy-memory"), Term("sender-memory"))
    changes = (Term("policy-one-change", size.changes_per_s), Term("sender-one-change", size.changes_per_s))
    part_rate = size.changes_per_s * size.places / size.senders
    part_changes = (Term("policy-one-change", part_rate), Term("sender-one-change", part_rate))
    looks = (Term("recovery-look", LOOKS_PER_S), Term("recovery-facts", FACTS_PER_S))
    start = (Term("discovery-parse"), Term("sender-whole-list"), Term("policy-whole-list"))
    line = (Term("discovery-list-bytes", size.changes_per_s / whole),)
    list_of, shard_of = (
        "mountgauge.core.sender, rillspindle.policy",
        "mountgauge.sharding.placement, subscription",
    )
    held = f"{size.destinations} x {size.places} places / {size.senders} senders"
    return Role(
        "Sender",
        (
            Row("state: destinations, the whole list", plain(whole, Unit.COUNT, "the size"), list_of),
            Row("state: destinations, its shards", plain(part, Unit.COUNT, held), shard_of),
            Row(
                "shards held",
                plain(size.shards * size.places / size.senders, Unit.COUNT, "shards x places / senders"),
                shard_of,
            ),
            Row("memory, the whole list", summed(slopes, memory_terms, whole, Unit.BYTES, memory), list_of),
            Row("memory, its shards", summed(slopes, memory_terms, part, Unit.BYTES, memory), list_of),
            Row(
                "processor, changes, the whole list", summed(slopes, changes, whole, Unit.CORE, core), list_of
            ),
            Row(
                "processor, changes, its shards", summed(slopes, part_changes, part, Unit.CORE, core), list_of
            ),
            Row(
                "processor, recovery's looks, the whole list",
                summed(slopes, looks, whole, Unit.CORE, core),
                "mountgauge.recovery.destinations, mountgauge.run.recovery",
            ),
            Row(
                "processor, recovery's looks, its shards",
                summed(slopes, looks, part, Unit.CORE, core),
                "mountgauge.recovery.destinations, mountgauge.run.recovery",
            ),
            Row(
                "messages in: changes, the whole list",
                plain(size.changes_per_s, Unit.PER_S, "changes a day"),
                "mountgauge.platform.discovery",
            ),
            Row(
                "messages in and out: asks of its relay",
                plain(1 / Timing().wait_s, Unit.PER_S, "1 / wait"),
                shard_of,
            ),
            Row(
                "messages in: changes, its shards",
                plain(part_rate, Unit.PER_S, "changes x places / senders"),
                shard_of,
            ),
            Row(
                "bytes in: changes, the whole list",
                summed(slopes, line, whole, Unit.BYTES_PER_S, kb_s),
                "mountgauge.platform.discovery",
            ),
            Row("a start, the whole list", summed(slopes, start, whole, Unit.SECONDS, size.ready_s), list_of),
            Row("a start, its shards", summed(slopes, start, part, Unit.SECONDS, size.ready_s), list_of),
            Row("control in all: processor", of_scale_run(scale, "cpu_share", Unit.CORE, 1, core), shard_of),
            Row("control in all: memory", of_scale_run(scale, "mb", Unit.BYTES, 1e6, memory), shard_of),
            Row("control in all: bytes", of_scale_run(scale, "kb_s", Unit.BYTES_PER_S, 1e3, kb_s), shard_of),
            Row(
                "control in all: messages in and out",
                of_scale_run(scale, "messages_s", Unit.PER_S, 1, None),
                shard_of,
            ),
            Row(
                "events in, and calls out",
                plain(size.events_per_sender_s, Unit.PER_S, "events / senders"),
                "mountgauge.clients, mountgauge.amqp.clients, mountgauge.next_hops",
            ),
            Row(
                "processor, events",
                unknown(Unit.CORE, "a load run of one real sender at this rate"),
                "mountgauge.core.sender",
            ),
            Row("machines", plain(size.senders, Unit.COUNT, "the size"), "mountgauge.agent"),
        ),
    )


def relay_role(kept: KeptResults, size: FleetSize) -> Role:
    scale, zones = kept.scale, size.zones
    carried, zone_relay, upper = (
        "mountgauge.relay.server, mountgauge.sharding.relay",
        "one a zone",
        "above the zones",
    )
    out = size.changes_per_s * size.places / zones
    whole = float(size.destinations)
    return Role(
        "Configuration relay",
        (
            Row(
                "machines",
                plain(zones + size.upper_relays, Unit.COUNT, "zones + upper relays", size.control_machines),
                carried,
            ),
            Row(
                "machines, by load",
                of_summary(scale, "control_machines", Unit.COUNT, size.control_machines),
                carried,
            ),
            Row(
                "state: the whole list, as text",
                summed(kept.slopes, (Term("discovery-list-bytes"),), whole, Unit.BYTES),
                carried,
            ),
            Row(
                "state: senders of a zone",
                plain(size.senders_per_zone, Unit.COUNT, "senders / zones"),
                carried,
            ),
            Row(
                "messages in and out: asks, a zone's relay",
                plain(size.senders_per_zone / Timing().wait_s, Unit.PER_S, "senders of a zone / wait"),
                carried,
            ),
            Row("messages in: changes", plain(size.changes_per_s, Unit.PER_S, "changes a day"), carried),
            Row(
                "messages out: changes, a zone's relay",
                plain(out, Unit.PER_S, "changes x places / zones"),
                carried,
            ),
            Row(
                "messages out in a burst",
                plain(out * size.burst, Unit.PER_S, f"the same, {size.burst:g} times"),
                carried,
            ),
            Row(
                f"processor, {zone_relay}",
                of_scale_run(scale, "zone_relay_cpu_share", Unit.CORE, 1, ONE_CORE),
                carried,
            ),
            Row(
                f"processor, {upper}",
                of_scale_run(scale, "upper_relay_cpu_share", Unit.CORE, 1, ONE_CORE),
                carried,
            ),
            Row(
                f"memory, {zone_relay}", of_scale_run(scale, "zone_relay_mb", Unit.BYTES, 1e6, None), carried
            ),
            Row(f"memory, {upper}", of_scale_run(scale, "upper_relay_mb", Unit.BYTES, 1e6, None), carried),
            Row(
                f"bytes, {zone_relay}",
                of_scale_run(scale, "zone_relay_kb_s", Unit.BYTES_PER_S, 1e3, None),
                carried,
            ),
            Row(
                f"bytes, {upper}",
                of_scale_run(scale, "upper_relay_kb_s", Unit.BYTES_PER_S, 1e3, None),
                carried,
            ),
            Row(
                "a change in force, p99",
                of_summary(scale, "config_p99_s", Unit.SECONDS, size.in_force_s),
                carried,
            ),
            Row(
                "a change in force, worst",
                of_summary(scale, "config_worst_s", Unit.SECONDS, size.in_force_s),
                carried,
            ),
            Row("changes never in force", of_summary(scale, "stale", Unit.COUNT, None), carried),
            *_in_time(size),
            Row(
                "load more, of another relay, where a zone's one is gone",
                plain(1 / (zones - 1), Unit.TIMES, "1 / (zones - 1)", 1.0),
                carried,
            ),
        ),
    )


def _in_time(size: FleetSize) -> tuple[Row, ...]:
    """How old what is in force may be, by the formulas of sharding: two levels of relays, then the sender."""
    hops, delay_s, within = (RELAY_TIMING, RELAY_TIMING, Timing()), size.delay_s, size.in_force_s
    how = f"formula: {delay_s:g} s of delay, lost messages: {size.losses}"
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
            f"{what}, by formula",
            plain(value, Unit.SECONDS, how, within),
            f"mountgauge.sharding.timing.{name}",
        )
        for what, value, name in formulas
    )


def front_role(size: FleetSize) -> Role:
    carried = "none: clients choose a sender (mountgauge.clients, mountgauge.amqp.clients)"
    tell = "a front layer, and a run with it"
    return Role(
        "Front layer",
        (
            Row("events in", plain(size.events_per_s, Unit.PER_S, "the size"), carried),
            Row(
                "events in, a zone",
                plain(size.events_per_s / size.zones, Unit.PER_S, "events / zones"),
                carried,
            ),
            Row("state: which senders hold a destination", unknown(Unit.COUNT, tell), carried),
            Row("bytes", unknown(Unit.BYTES_PER_S, tell), carried),
            Row("processor", unknown(Unit.CORE, tell), carried),
            Row("memory", unknown(Unit.BYTES, tell), carried),
            Row("machines", unknown(Unit.COUNT, tell), carried),
        ),
    )


def discovery_role(kept: KeptResults, size: FleetSize) -> Role:
    carried = "mountgauge.platform.discovery (discovery itself is not part of this project)"
    whole = (Term("discovery-list-bytes"),)
    restarts = (Term("discovery-list-bytes", size.restarts_per_day / 86_400),)
    at = float(size.destinations)
    return Role(
        "Discovery",
        (
            Row("watches, no relays", plain(size.senders, Unit.COUNT, "senders"), carried),
            Row(
                "watches, with relays",
                plain(size.upper_relays, Unit.COUNT, "upper relays"),
                "mountgauge.relay.follower",
            ),
            Row(
                "messages out, no relays",
                plain(size.changes_per_s * size.senders, Unit.PER_S, "changes x senders"),
                carried,
            ),
            Row(
                "messages out, with relays",
                plain(size.changes_per_s * size.upper_relays, Unit.PER_S, "changes x upper relays"),
                "mountgauge.relay.follower",
            ),
            Row(
                "a whole list",
                summed(kept.slopes, whole, at, Unit.BYTES, MOST_LIST_BYTES),
                "mountgauge.platform.list_exchange.MOST_LIST_BYTES",
            ),
            Row(
                "bytes out for restarts, no relays",
                summed(kept.slopes, restarts, at, Unit.BYTES_PER_S),
                carried,
            ),
            Row("processor", unknown(Unit.CORE, "a measurement of the operators' discovery"), carried),
            Row("memory", unknown(Unit.BYTES, "a measurement of the operators' discovery"), carried),
        ),
    )


def agent_role(size: FleetSize) -> Role:
    carried, tell = "mountgauge.agent.Instance", "a probe of one agent with its instances"
    return Role(
        "Agent",
        (
            Row(
                "restarts and replacements",
                plain(size.restarts_per_day / 86_400, Unit.PER_S, "a day's, evenly"),
                "none over machines: mountgauge.agent knows its own",
            ),
            Row("processor", unknown(Unit.CORE, tell), carried),
            Row("memory", unknown(Unit.BYTES, tell), carried),
            Row(
                "messages, bytes",
                plain(0.0, Unit.PER_S, "it says nothing by itself; asked on loopback"),
                carried,
            ),
            Row("machines", plain(size.senders, Unit.COUNT, "one beside each sender"), carried),
        ),
    )


def budgets_role(kept: KeptResults, size: FleetSize) -> Role:
    carried, members, kb_s = "mountgauge.budgets.member.Member", float(size.senders), size.kb_per_s * 1e3
    rows = []
    for who, probe in (
        ("all members vote", "leases-all-vote"),
        ("one of five voters", "leases-voter"),
        ("a member beside five voters", "leases-member"),
    ):
        bytes_, core = (Term(f"{probe}-bytes"),), (Term(f"{probe}-core"),)
        rows += [
            Row(f"bytes out, {who}", summed(kept.slopes, bytes_, members, Unit.BYTES_PER_S, kb_s), carried),
            Row(f"processor, {who}", summed(kept.slopes, core, members, Unit.CORE, size.core_share), carried),
        ]
    rows += [
        Row(
            "members for each slice of a budget",
            plain(members / SLICES, Unit.COUNT, f"senders / {SLICES} slices", 1.0),
            "mountgauge.budgets.timing.SLICES",
        ),
        Row(
            "memory",
            summed(kept.slopes, (Term("leases-all-vote-memory"),), members, Unit.BYTES, size.memory_mb * 1e6),
            carried,
        ),
        Row("machines", plain(0.0, Unit.COUNT, "voters are senders"), carried),
    ]
    return Role("Budget voters", tuple(rows), "Two budgets, leases of 4 s, demand above the whole.")


def tenants_role(kept: KeptResults, size: FleetSize) -> Role:
    carried, members = "mountgauge.tenants.gossip.node.Gossip", float(size.senders)
    sent, core = (Term("gossip-members-bytes"),), (Term("gossip-members-core"),)
    return Role(
        "Tenants' counts",
        (
            Row(
                "bytes out",
                summed(kept.slopes, sent, members, Unit.BYTES_PER_S, size.kb_per_s * 1e3),
                carried,
            ),
            Row("processor", summed(kept.slopes, core, members, Unit.CORE, size.core_share), carried),
            Row(
                "memory",
                summed(
                    kept.slopes, (Term("gossip-members-memory"),), members, Unit.BYTES, size.memory_mb * 1e6
                ),
                "mountgauge.tenants.counts.Counts",
            ),
            Row("machines", plain(0.0, Unit.COUNT, "members are senders"), carried),
        ),
        "A hundred tenants, 25 messages a second at each member, 5 % loss.",
    )


def telemetry_role(kept: KeptResults, size: FleetSize) -> Role:
    carried, members = "mountgauge.otlp.Exporter", float(size.senders)
    export = (Term("telemetry-bytes", 1 / EXPORT_EVERY_S),)
    core = (Term("telemetry-export", 1 / EXPORT_EVERY_S),)
    all_of_them = (Term("telemetry-bytes", size.senders / EXPORT_EVERY_S),)
    return Role(
        "Telemetry",
        (
            Row(
                "messages in, at the collectors: exports",
                plain(size.senders / EXPORT_EVERY_S, Unit.PER_S, f"senders / {EXPORT_EVERY_S:g} s"),
                carried,
            ),
            Row(
                "bytes out of a sender",
                summed(kept.slopes, export, members, Unit.BYTES_PER_S, size.kb_per_s * 1e3),
                carried,
            ),
            Row(
                "processor of a sender",
                summed(kept.slopes, core, members, Unit.CORE, size.core_share),
                carried,
            ),
            Row(
                "bytes in, at the collectors",
                summed(kept.slopes, all_of_them, members, Unit.BYTES_PER_S),
                carried,
            ),
            Row(
                "collectors: memory and machines", unknown(Unit.COUNT, "a collector under this load"), carried
            ),
        ),
        "A hundred tenants; each member says how old its word of each other member is.",
    )


def data_rows(kept: KeptResults, size: FleetSize) -> tuple[Row, ...]:
    slopes, held = kept.slopes, size.backlog_per_sender
    journal, module = "mountgauge.core.journal.Journal", "rillspindle.policy.Policy._pump"
    turns = held / recovery_bounds.RESTORED_PER_TURN
    of_one = held / size.destinations_per_sender
    memory = (Term("journal-start-memory"), Term("sender-restore-memory"))
    start = (Term("journal-start"), Term("sender-restore"))
    return (
        Row(
            "events taken and sent",
            plain(size.events_per_sender_s, Unit.PER_S, "events / senders"),
            "the core",
        ),
        Row("messages held", plain(held, Unit.COUNT, "backlog / senders"), journal),
        Row(
            "the backlog, in time of all events",
            plain(size.backlog_events / size.events_per_s, Unit.SECONDS, "backlog / events"),
            journal,
        ),
        Row(
            "the backlog, in time of what is down alone",
            plain(
                size.backlog_events / (size.events_per_s * size.down_share),
                Unit.SECONDS,
                "backlog / (events x share down)",
            ),
            journal,
        ),
        Row("memory of what is held", summed(slopes, memory, held, Unit.BYTES), journal),
        Row("disk", summed(slopes, (Term("journal-file"),), held, Unit.BYTES), journal),
        Row(
            "disk at a compaction: both files",
            summed(slopes, (Term("journal-file", 2),), held, Unit.BYTES),
            journal,
        ),
        Row("a start: processor time", summed(slopes, start, held, Unit.SECONDS, size.ready_s), journal),
        Row(
            "a start: turns that give it back to the module",
            plain(
                turns * TICK_S,
                Unit.SECONDS,
                f"messages / {recovery_bounds.RESTORED_PER_TURN} a turn of 5 ms",
                size.ready_s,
            ),
            "mountgauge.core.sender.Sender.turn",
        ),
        Row(
            "a compaction: the loop stands still",
            summed(slopes, (Term("journal-compaction"),), held, Unit.SECONDS, LONGEST_PAUSE_S),
            journal,
        ),
        Row(
            "an arrival, the backlog spread over its destinations",
            summed(
                slopes, (Term("policy-backlog-arrival"),), of_one, Unit.SECONDS, 1 / size.events_per_sender_s
            ),
            module,
        ),
        Row(
            "an answer while all slots are taken",
            summed(
                slopes, (Term("policy-backlog-answer"),), held, Unit.SECONDS, 1 / size.events_per_sender_s
            ),
            "rillspindle.policy.Policy._slot_worth",
        ),
    )
