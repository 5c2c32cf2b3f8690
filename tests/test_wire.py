"""The codec of the decision module: bytes to events, actions to bytes, and the adapter process."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from rillspindle import interface as i
from rillspindle import wire
from tests.settings import settings

ROOT = Path(__file__).parent.parent
CLOCK = bytes.fromhex("508d976e12d32040")


def test_events_of_a_batch_are_decoded() -> None:
    body = bytes.fromhex(
        "110300c4913a5d0000cba145b6f34d21400100fa7e6abc7493883f"
        + "00006442"
        + "00"
        + "640ad2557c3bf091"
        + "1603004d00000000000000"
        + "130500192b6f0e"
    )
    events = list(wire.decode(body, 3, {}))
    assert [node for node, _ in events] == [3, 3, 5]
    request = events[0][1]
    assert isinstance(request, i.Incoming)
    assert (request.msg_id, request.marks, request.dest, request.message_class) == (0x5D3A91C4, 1, 57, 0)
    assert request.key == 0x91F03B7C55D20A64
    assert request.expires == pytest.approx(8.652, abs=0.01)
    assert events[1][1] == i.Ring(77)
    assert events[2][1] == i.Withdrawn(0x0E6F2B19)


def test_a_list_and_its_targets_are_decoded() -> None:
    lists: dict[int, tuple[i.Entry, ...]] = {}
    body = bytes.fromhex(
        "100000000002000000"
        "0200000000000000000000803f00390000000a124a07431f"
        "0266666666666618400000c03f01390000000a9011f26c1f"
        "150300022900000000000000"
        "00000000"
    )
    ((node, event),) = wire.decode(body, 2, lists)
    assert node == 3
    assert isinstance(event, i.Targets) and event.kind == i.ListKind.CACHED and event.revision == 41
    assert event.entries[0] == i.Entry(2, 0.0, 1.0, 0, 57, 0, bytes.fromhex("0a124a07431f"))
    assert event.entries[1].zone == 1 and event.entries[1].boot_time == pytest.approx(6.1)


def test_a_response_is_decoded() -> None:
    body = bytes.fromhex("120300c4913a5d8b6ce7fba9f1923f0a124a07431fc80000010000000000")
    ((_, event),) = wire.decode(body, 1, {})
    assert isinstance(event, i.Response)
    assert (event.outcome, event.send_no, event.message_finished, event.stats) == (200, 0, True, ())


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (
            i.Issue(0x5D3A91C4, bytes.fromhex("0a124a07431f"), 0.1),
            "590300c4913a5d0a124a07431f9a9999999999b93f",
        ),
        (i.Schedule(0.5, 77), "550300000000000000e03f4d00000000000000"),
        (i.WriteLog("two servers known"), "5303001100" + b"two servers known".hex()),
        (i.PushBack(1, 0.5), "5b030001000000000000000000e03f"),
        (i.Abort(1), "58030001000000"),
        (i.StopAttempt(1, 2), "5003000100000002"),
        (i.Close(b"\x01\x02\x03\x04\x05\x06"), "510300010203040506"),
        (i.Inspect(b"\x01\x02\x03\x04\x05\x06"), "540300010203040506"),
        (i.Watch(True), "5a030001"),
        (i.Snapshot(), "560300"),
        (i.MemoTo(0xFFFFFFFF, b"hi 7"), "520300ffffffff040068692037"),
    ],
)
def test_actions_are_encoded(action: i.Action, expected: str) -> None:
    assert wire.encode(3, action).hex() == expected


def test_malformed_frames_are_reported() -> None:
    with pytest.raises(wire.WireError, match="unknown record code 99"):
        list(wire.decode(b"\x63", 1, {}))
    with pytest.raises(wire.WireError, match="cut short"):
        list(wire.decode(b"\x16\x03\x00", 1, {}))
    with pytest.raises(wire.WireError, match="bytes after the last record"):
        list(wire.decode(b"\x19\x03\x00\x00", 1, {}))


def frame(body: bytes, count: int, batch: int, clock: float = 1.0) -> bytes:
    return struct.pack("<dIII", clock, 20 + len(body), count, batch) + body


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "rillspindle.adapter"], input=data, cwd=ROOT, capture_output=True, timeout=60
    )


def node_started(node: int, env: object) -> bytes:
    text = json.dumps(env).encode()
    return b"\x18" + struct.pack("<HQI", node, 9, len(text)) + text


def test_adapter_over_pipes() -> None:
    entry = struct.pack("<BdfBHH6s", 2, 0.0, 0.0, 0, 57, 0, bytes.fromhex("0a124a07431f"))
    first = node_started(3, settings(unknown={"a": 1})) + b"\x10" + struct.pack("<II", 0, 1) + entry
    first += b"\x15" + struct.pack("<HBQI", 3, 2, 41, 0)
    second = b"\x11" + struct.pack("<HIHdHdfBQ", 3, 1234, 0, 12.0, 0, 0.0, 57.0, 0, 0)
    down = b"\x19" + struct.pack("<H", 3)
    data = frame(b"", 0, 1) + frame(first, 3, 2) + frame(second, 1, 3, 2.0) + frame(down + second, 2, 4, 3.0)
    done = run_adapter(data)
    assert done.returncode == 0, done.stderr
    assert done.stdout[:12] == struct.pack("<III", 0, 12, 1)
    assert done.stdout[12:24] == struct.pack("<III", 0, 12, 2)
    assert struct.pack("<BHI6s", 89, 3, 1234, bytes.fromhex("0a124a07431f")) in done.stdout
    assert done.stdout[-12:] == struct.pack("<III", 0, 12, 4)


def test_adapter_reports_malformed_input_and_bad_settings() -> None:
    assert b"INTERNAL" not in run_adapter(b"").stdout
    cut = run_adapter(frame(b"\x16\x03", 1, 1))
    assert cut.returncode != 0 and b"cut short" in cut.stderr
    fault = run_adapter(frame(node_started(3, {"balancers": "two"}), 1, 1))
    assert fault.returncode == 0 and b"ValueError: setting" in fault.stdout
