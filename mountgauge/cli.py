"""The command line: `mountgauge run | agent | relay | status | tenants | comeback | budgets | shards | check
| lab`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from mountgauge import __version__
from mountgauge.core.config import Address, Config, ConfigError
from mountgauge.log import set_up_logging
from mountgauge.run import SIGNALS


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mountgauge", description="Delivers messages to partners' endpoints."
    )
    parser.add_argument("--version", action="version", version=f"mountgauge {__version__}")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    run = commands.add_parser(
        "run", help="run one sender, configured by an operator's file or, without one, by GW_CONFIG"
    )
    run.add_argument("file", nargs="?", type=Path)
    run_agent = commands.add_parser("agent", help="run the instances of an agent's file")
    run_agent.add_argument("file", type=Path)
    status = commands.add_parser("status", help="show the status of an agent or an instance")
    status.add_argument("address", nargs="?", default="127.0.0.1:9100", help="default: %(default)s")
    tenants = commands.add_parser("tenants", help="show what each tenant has used across the fleet")
    tenants.add_argument("address", nargs="?", default="127.0.0.1:9100", help="default: %(default)s")
    tenants.add_argument("--json", action="store_true", help="as one JSON object")
    comeback = commands.add_parser("comeback", help="show how far instances have recovered after a restart")
    comeback.add_argument("address", nargs="*", default=["127.0.0.1:9100"], help="default: %(default)s")
    comeback.add_argument("--json", action="store_true", help="as one JSON object per refresh")
    comeback.add_argument(
        "--wait", type=float, metavar="S", help="wait until all are at full service, at most S seconds"
    )
    comeback.add_argument("--watch", action="store_true", help="refresh the table repeatedly")
    budgets = commands.add_parser("budgets", help="show each member's share of the fleet-wide budgets")
    budgets.add_argument("address", nargs="*", default=["127.0.0.1:9100"], help="default: %(default)s")
    budgets.add_argument("--json", action="store_true", help="as one JSON object per refresh")
    budgets.add_argument("--watch", action="store_true", help="refresh the table repeatedly")
    budgets.add_argument(
        "--new", type=Path, metavar="FILE", help="declare that this file's sender has made no promises yet"
    )
    relay = commands.add_parser("relay", help="run one configuration relay, configured by its file")
    relay.add_argument("file", type=Path)
    shards = commands.add_parser("shards", help="show the shards that senders and relays hold")
    shards.add_argument("address", nargs="*", default=["127.0.0.1:9100"], help="default: %(default)s")
    shards.add_argument("--json", action="store_true", help="as one JSON object per refresh")
    shards.add_argument("--watch", action="store_true", help="refresh the table repeatedly")
    commands.add_parser("lab", add_help=False, help="run schedules of faults against real senders")
    check = commands.add_parser("check", help="validate an operator's, agent's or relay's file")
    check.add_argument("file", type=Path)
    return parser


def _run(file: Path | None) -> int:
    # Signals that arrive before the event loop handles them stay pending in the system until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    set_up_logging()
    # Each command imports only what it needs, which keeps the start on the platform short.
    from mountgauge.run.serve import serve

    if file is None:
        from mountgauge.run.platform import PlatformRuntime

        asyncio.run(serve(lambda: PlatformRuntime(Config.load())))
        return 0
    from mountgauge.connections.turn_watch import watched_loop
    from mountgauge.operator_file import load
    from mountgauge.run.operator import make_operator_runtime

    operator = load(file)
    try:
        operator.config.state.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise ConfigError(f"{file}: state: {error.strerror}: {operator.config.state}") from None
    watch, loop = watched_loop()
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(serve(lambda: make_operator_runtime(operator, watch)))
    return 0


def _relay(file: Path) -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    set_up_logging()
    from mountgauge.relay import service, settings

    relay_file = settings.load_relay(file)
    settings.raise_descriptors(relay_file)
    asyncio.run(service.serve(relay_file))
    return 0


def _agent(file: Path) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mountgauge import agent

    agent_file = agent.load_agent(file)
    set_up_logging()
    asyncio.run(agent.serve(agent_file, file))
    return 0


def _fetch(address: Address, page: str = "/status") -> dict[str, Any]:
    from mountgauge.status import fetch_status

    return asyncio.run(fetch_status(address, page=page))


def _status(text: str) -> int:
    address = Address.parse(text, "address")
    try:
        status = _fetch(address)
    except (OSError, ValueError) as error:
        print(f"mountgauge: {text}: cannot get status: {error or type(error).__name__}", file=sys.stderr)
        return 1
    if "instances" not in status:
        for name, value in status.items():
            print(f"{name}: {value}")
        return 0
    print(f"{'NAME':<20} {'STATE':<12} {'PID':>8} {'RESTARTS':>8} {'EXIT':>5}")
    for one in status["instances"]:
        pid, code = ("-" if one[key] is None else one[key] for key in ("pid", "exit"))
        print(f"{one['name']:<20} {one['state']:<12} {pid:>8} {one['restarts']:>8} {code:>5}")
    return 0 if all(one["state"] == "running" for one in status["instances"]) else 1


def _tenants(text: str, as_json: bool) -> int:
    address = Address.parse(text, "address")
    try:
        report = _fetch(address, "/tenants")
    except (OSError, ValueError) as error:
        print(f"mountgauge: {text}: cannot get tenants: {error or type(error).__name__}", file=sys.stderr)
        return 1
    if as_json:
        print(json.dumps(report, indent=2))
        return 0
    from mountgauge.tenants.table import tenant_table

    for line in tenant_table(report):
        print(line)
    return 0 if report["exact"] and not report["split"] and not report["conflicts"] else 1


def _new_budgets(file: Path) -> int:
    from mountgauge.operator_file import load

    operator = load(file)
    if operator.budgets is None:
        raise ConfigError(f"{file}: no [[budget]] in this file")
    from mountgauge.budgets.files import declare_new

    declare_new(operator.config.state, operator.config.name)
    print(f"{file}: {operator.config.name} may make promises from its first start")
    return 0


def _lab(arguments: Sequence[str]) -> int:
    try:  # the lab has optional dependencies
        from mountgauge.lab.cli import main as lab_main
    except ModuleNotFoundError as error:
        raise ConfigError(f"lab: {error.name} is missing: see requirements-lab.txt") from None
    return lab_main(arguments)


def _check(file: Path) -> int:
    from mountgauge import agent
    from mountgauge.connections import descriptors
    from mountgauge.operator_file import load
    from mountgauge.settings_table import read_toml

    raw = read_toml(file)
    if "instance" in raw:
        agent_file = agent.load_agent(file)
        print(f"{file}: {len(agent_file.instances)} instances")
    elif "upstream" in raw:
        return _check_relay(file)
    else:
        operator = load(file)
        hops = f"{len(operator.hops.update.hops)} next hops"
        if operator.sharding is not None:
            count, relays = operator.sharding.shards.count, len(operator.sharding.relays.entries)
            hops = f"next hops of {count} shards from {relays} relays"
        print(f"{file}: {operator.config.name}, {hops}")
        hard_limit = descriptors.limits()[1]
        if (shortfall := descriptors.shortfall(operator.config.limits.sockets, hard_limit)) is not None:
            print(f"mountgauge: {file}: {shortfall}", file=sys.stderr)
            return 1
    return 0


def _check_relay(file: Path) -> int:
    from mountgauge.relay.settings import descriptor_shortfall, load_relay

    relay = load_relay(file)
    members = len(relay.members.at(relay.members.epoch)) if relay.members is not None else 0
    print(f"{file}: relay {relay.name}, {relay.shards.count} shards, {members} members")
    if (shortfall := descriptor_shortfall(relay)) is not None:
        print(f"mountgauge: {file}: {shortfall}", file=sys.stderr)
        return 1
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    """Run one subcommand and return the exit code."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    try:
        if arguments[:1] == ["lab"]:
            return _lab(arguments[1:])
        args = _parser().parse_args(arguments)
        match args.command:
            case "agent":
                return _agent(args.file)
            case "status":
                return _status(args.address)
            case "tenants":
                return _tenants(args.address, args.json)
            case "comeback":
                from mountgauge.recovery.table import show

                return show(args.address, args.json, args.wait, args.watch)
            case "budgets":
                if args.new is not None:
                    return _new_budgets(args.new)
                from mountgauge.budgets.table import BUDGETS

                return BUDGETS.show(args.address, args.json, args.watch)
            case "relay":
                return _relay(args.file)
            case "shards":
                from mountgauge.relay.table import SHARDS

                return SHARDS.show(args.address, args.json, args.watch)
            case "check":
                return _check(args.file)
            case "run":
                return _run(args.file)
            case _:  # no command, as the platform starts it
                return _run(None)
    except ConfigError as error:
        print(f"mountgauge: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
    except OSError as error:  # for example an address in use, or a folder without write permission
        print(f"mountgauge: {' '.join(str(error).split())}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
