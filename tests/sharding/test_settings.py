"""Files of relays and of senders with `[sharding]`: what is wrong is one clear line."""

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
TWINS = MEMBERS + '[[members]]\nname = "s2"\nzone = "a"\n'


def written(folder: Path, text: str, members: str = MEMBERS) -> Path:
    file = folder / "file.toml"
    file.write_text(text)
    (folder / "members.toml").write_text(members)
    return file


def test_the_files_are_read_with_their_defaults(tmp_path: Path) -> None:
    relay = load_relay(written(tmp_path, RELAY))
    assert (relay.shards.count, relay.shards.replicas, relay.timing.wait_s) == (64, 3, 0.5)
    assert relay.members is not None and len(relay.members.at(1)) == 2
    operator = load(written(tmp_path, SENDER))
    assert operator.sharding is not None and operator.sharding.relays.entries[0].name == "relay-a"
    assert operator.config.rules.balancers == 3, "a limit is divided among the replicas"


@pytest.mark.parametrize(
    ("old", "new", "members", "says"),
    [
        ('zone = "a"', 'zone = "c"', MEMBERS, "zone: 'c' is no member's zone: a, b"),
        ('discovery = "127.0.0.1:8500"', "", MEMBERS, "upstream.relay: at least one is needed"),
        ("[upstream]\n", "[other]\n", MEMBERS,
         "upstream: missing: set upstream.discovery, or [[upstream.relay]]"),
        ("count = 64", "count = 0", MEMBERS, "shards.count: from 1 to 1048576"),
        ("count = 64", "counts = 64", MEMBERS, "shards.counts: unknown setting"),
        ('listen = "127.0.0.1:7801"', "", MEMBERS, "listen: missing"),
        ("count = 64", "count = 64", TWINS, "members.toml: member 's2': listed twice for epoch 1"),
        ("count = 64", "count = 64", "epoch = 1", "members.toml: members: none are listed"),
        ('members = "members.toml"', 'members = "gone.toml"', MEMBERS,
         "gone.toml: No such file or directory"),
    ],
)  # fmt: skip
def test_what_is_wrong_in_a_relays_file_is_one_clear_line(
    tmp_path: Path, old: str, new: str, members: str, says: str
) -> None:
    file = written(tmp_path, RELAY.replace(old, new, 1), members)
    assert cli.main(["check", str(file)]) == 2
    with pytest.raises(ConfigError) as caught:
        load_relay(file)
    assert str(caught.value).endswith(says) and "\n" not in str(caught.value)


SECOND = '\n[[sharding.relay]]\nname = "relay-a"\nzone = "b"\nat = "127.0.0.1:7802"\n'
HOP = '\n[[next_hop]]\nid = "h"\naddr = "127.0.0.1:9"\ndest = 7\n'


@pytest.mark.parametrize(
    ("old", "new", "members", "says"),
    [
        ('zone = "a"\nshards', 'zone = "b"\nshards', MEMBERS,
         "sharding.zone: 'b', but 'a' in the members' file"),
        ('name = "s1"', 'name = "s9"', MEMBERS, "sharding.members: 's9' is not among them"),
        ('zone = "a"\nat', 'zone = "c"\nat', MEMBERS, "zone: 'c' is no member's zone: a, b"),
        ("[[sharding.relay]]", "[[sharding.relays]]", MEMBERS, "sharding.relay: at least one is needed"),
        ('at = "127.0.0.1:7801"', 'at = "here"', MEMBERS, "relay[0].at: not an address: 'here'"),
        ('at = "127.0.0.1:7801"', 'at = "127.0.0.1:7801"' + SECOND, MEMBERS,
         "sharding.relay: 'relay-a' stands twice"),
        ('at = "127.0.0.1:7801"', 'at = "127.0.0.1:7801"' + HOP, MEMBERS,
         "next_hop: with [sharding] they come from the relays"),
        ("shards = 64", "shards = 64", TWINS, "members.toml: member 's2': listed twice for epoch 1"),
        ("shards = 64", "shards = 64\nwait_s = 61", MEMBERS, "sharding.wait_s: at most 60"),
        ("shards = 64", "shards = 64\nrate_per_weight = -1", MEMBERS,
         "sharding.rate_per_weight: must not be below 0"),
    ],
)  # fmt: skip
def test_what_is_wrong_in_a_senders_file_is_one_clear_line(
    tmp_path: Path, old: str, new: str, members: str, says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = written(tmp_path, SENDER.replace(old, new, 1), members)
    assert cli.main(["check", str(file)]) == 2
    said = capsys.readouterr().err.strip()
    assert said.endswith(says) and "\n" not in said and said.startswith("mountgauge: ")


def test_check_says_what_a_good_relays_file_has(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["check", str(written(tmp_path, RELAY))]) == 0
    assert capsys.readouterr().out.endswith("relay relay-a, 64 shards, 2 members\n")


def test_the_example_is_of_one_piece() -> None:
    folder = Path(__file__).parents[2] / "example" / "sharding"
    relays = [load_relay(folder / f"relay-{zone}.toml") for zone in "ab"]
    instances = load_agent(folder / "agent.toml").instances
    senders = [one.sharding for one in instances if one.sharding is not None]
    assert len(senders) == len(instances) == 4
    shards = [one.shards for one in relays] + [one.shards for one in senders]
    assert len(set(shards)) == 1
    places = {one.name: one.listen for one in relays}
    assert all(one.relays.addresses == places for one in senders)
