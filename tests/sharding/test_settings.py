"""Files of relays and of senders with `[sharding]`: each mistake is reported in one line that names it."""

from __future__ import annotations

from pathlib import Path

import pytest

from mountgauge import cli
from mountgauge.agent import load_agent
from mountgauge.core.config import ConfigError
from mountgauge.operator_file import load
from mountgauge.relay.settings import load_relay

MEMBERS = """
epoch = 1
[[members]]
name = "s1"
zone = "a"
[[members]]
name = "s2"
zone = "b"
"""
RELAY = """
name = "relay-a"
zone = "a"
listen = "127.0.0.1:7801"
members = "members.toml"
[shards]
count = 64
[upstream]
discovery = "127.0.0.1:8500"
"""
SENDER = """
name = "s1"
state = "state"
[resp]
listen = "127.0.0.1:6401"
[[class]]
name = "note"
semantics = "idempotent"
deadline = 8
[sharding]
zone = "a"
shards = 64
members = "members.toml"
[[sharding.relay]]
name = "relay-a"
zone = "a"
at = "127.0.0.1:7801"
"""
DUPLICATE = MEMBERS + '[[members]]\nname = "s2"\nzone = "a"\n'


def write_files(folder: Path, text: str, members: str = MEMBERS) -> Path:
    file = folder / "file.toml"
    file.write_text(text)
    (folder / "members.toml").write_text(members)
    return file


def test_files_are_read_with_their_defaults(tmp_path: Path) -> None:
    relay = load_relay(write_files(tmp_path, RELAY))
    assert (relay.shards.count, relay.shards.replicas, relay.timing.wait_s) == (64, 3, 0.5)
    assert relay.members is not None and len(relay.members.at(1)) == 2
    operator = load(write_files(tmp_path, SENDER))
    assert operator.sharding is not None and operator.sharding.relays.entries[0].name == "relay-a"
    assert operator.config.rules.balancers == 3, "limits are divided among the replicas"


@pytest.mark.parametrize(
    ("old", "new", "members", "error"),
    [
        ('zone = "a"', 'zone = "c"', MEMBERS, "zone: 'c' has no members, only these have: a, b"),
        ('discovery = "127.0.0.1:8500"', "", MEMBERS, "upstream.relay: at least one is needed"),
        ("[upstream]\n", "[other]\n", MEMBERS,
         "upstream: missing: set upstream.discovery, or [[upstream.relay]]"),
        ("count = 64", "count = 0", MEMBERS, "shards.count: must be from 1 to 1048576"),
        ("count = 64", "counts = 64", MEMBERS, "shards.counts: unknown setting"),
        ('listen = "127.0.0.1:7801"', "", MEMBERS, "listen: missing"),
        ("count = 64", "count = 64", DUPLICATE, "members.toml: member 's2': listed twice for epoch 1"),
        ("count = 64", "count = 64", "epoch = 1", "members.toml: members: none are listed"),
        ('members = "members.toml"', 'members = "gone.toml"', MEMBERS,
         "gone.toml: No such file or directory"),
    ],
)  # fmt: skip
def test_a_mistake_in_a_relay_file_is_reported_in_one_line(
    tmp_path: Path, old: str, new: str, members: str, error: str
) -> None:
    file = write_files(tmp_path, RELAY.replace(old, new, 1), members)
    assert cli.main(["check", str(file)]) == 2
    with pytest.raises(ConfigError) as caught:
        load_relay(file)
    assert str(caught.value).endswith(error) and "\n" not in str(caught.value)


SECOND_RELAY = '\n[[sharding.relay]]\nname = "relay-a"\nzone = "b"\nat = "127.0.0.1:7802"\n'
NEXT_HOP = '\n[[next_hop]]\nid = "h"\naddr = "127.0.0.1:9"\ndest = 7\n'


@pytest.mark.parametrize(
    ("old", "new", "members", "error"),
    [
        ('zone = "a"\nshards', 'zone = "b"\nshards', MEMBERS,
         "sharding.zone: 'b' here, but 'a' in the members' file"),
        ('name = "s1"', 'name = "s9"', MEMBERS, "sharding.members: 's9' is not listed"),
        ('zone = "a"\nat', 'zone = "c"\nat', MEMBERS, "zone: 'c' has no members, only these have: a, b"),
        ("[[sharding.relay]]", "[[sharding.relays]]", MEMBERS, "sharding.relay: at least one is needed"),
        ('at = "127.0.0.1:7801"', 'at = "here"', MEMBERS, "relay[0].at: not an address: 'here'"),
        ('at = "127.0.0.1:7801"', 'at = "127.0.0.1:7801"' + SECOND_RELAY, MEMBERS,
         "sharding.relay: 'relay-a' is listed twice"),
        ('at = "127.0.0.1:7801"', 'at = "127.0.0.1:7801"' + NEXT_HOP, MEMBERS,
         "next_hop: with [sharding] they come from the relays"),
        ("shards = 64", "shards = 64", DUPLICATE, "members.toml: member 's2': listed twice for epoch 1"),
        ("shards = 64", "shards = 64\nwait_s = 61", MEMBERS, "sharding.wait_s: must be at most 60"),
        ("shards = 64", "shards = 64\nrate_per_weight = -1", MEMBERS,
         "sharding.rate_per_weight: must not be below 0"),
    ],
)  # fmt: skip
def test_a_mistake_in_a_sender_file_is_reported_in_one_line(
    tmp_path: Path, old: str, new: str, members: str, error: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = write_files(tmp_path, SENDER.replace(old, new, 1), members)
    assert cli.main(["check", str(file)]) == 2
    printed = capsys.readouterr().err.strip()
    assert printed.endswith(error) and "\n" not in printed and printed.startswith("mountgauge: ")


def test_check_summarizes_a_valid_relay_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["check", str(write_files(tmp_path, RELAY))]) == 0
    assert capsys.readouterr().out.endswith("relay relay-a, 64 shards, 2 members\n")


def test_the_files_of_the_example_agree_with_each_other() -> None:
    folder = Path(__file__).parents[2] / "example" / "sharding"
    relays = [load_relay(folder / f"relay-{zone}.toml") for zone in "ab"]
    instances = load_agent(folder / "agent.toml").instances
    senders = [instance.sharding for instance in instances if instance.sharding is not None]
    assert len(senders) == len(instances) == 4
    shards = [relay.shards for relay in relays] + [sender.shards for sender in senders]
    assert len(set(shards)) == 1
    addresses = {relay.name: relay.listen for relay in relays}
    assert all(sender.relays.addresses == addresses for sender in senders)
