"""Each command of the README's list works: those that end by themselves succeed, the others keep running.

A command runs in a copy of the examples, with this interpreter in place of the one of a make target's own
environment. Long measurements are only begun.
"""

from __future__ import annotations

import contextlib
import os
import re
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BEGUN_S = 3.0  # after which a command that still runs has begun
END_LIMIT_S = 90.0  # for a command that ends by itself, on a slow machine

# By its first words: the arguments that stand for the README's FILE and ADDRESS, and whether it ends.
FILES = {
    "check": "deploy/amqp.toml",
    "run": "example/sender.toml",
    "agent": "example/agent.toml",
    "relay": "example/sharding/relay-a.toml",
    "lab scale": "experiments/scale/quick.toml",
}
CI_RUNS_IT = {"make build", "make test"}
REPORTS = ("status", "tenants", "comeback", "budgets", "shards")  # on a process that runs elsewhere


def readme_commands() -> list[str]:
    """The commands of the README, without their comments."""
    text = (ROOT / "README.md").read_text()
    lines = re.findall(r"^    ((?:make|python -m) .*)$", text, re.MULTILINE)
    return [line.split(" #")[0].strip() for line in lines]


def make_recipe(target: str) -> str:
    """The shell command of a make target."""
    text = (ROOT / "Makefile").read_text().replace("\\\n", " ")
    found = re.search(rf"^{target}:.*\n((?:\t.*\n)+)", text, re.MULTILINE)
    assert found is not None, f"make {target}"
    return " ; ".join(line.strip().removeprefix("@") for line in found[1].splitlines())


@dataclass
class Folder:
    """A copy of the examples."""

    path: Path

    def start(self, command: str) -> subprocess.Popen[str]:
        """Start a shell command in a process group of its own."""
        command = re.sub(r"\.venv[a-z-]*/bin/python", sys.executable, command)
        command = re.sub(r"(^|[;&] )python -m", rf"\1{sys.executable} -m", command)
        return subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=self.path, text=True, start_new_session=True,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip


def end(process: subprocess.Popen[str]) -> str:
    """End a command's processes; returns what it printed."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGTERM)
    try:
        return process.communicate(timeout=10.0)[0]
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        return process.communicate()[0]


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Folder]:
    for name in ("example", "deploy", "experiments"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("state", "runs"))
    yield Folder(tmp_path)


def succeeds(folder: Folder, command: str) -> None:
    process = folder.start(command)
    try:
        text, _ = process.communicate(timeout=END_LIMIT_S)
    except subprocess.TimeoutExpired:
        pytest.fail(f"{command} did not end: {end(process)[-2000:]}")
    assert process.returncode == 0, f"{command}: {text[-2000:]}"


def begins(folder: Folder, command: str) -> None:
    process = folder.start(command)
    time.sleep(BEGUN_S)
    code = process.poll()
    text = end(process)
    # A stand-in of the examples may be cut off in the middle of an answer; the program may not fail so.
    failed = "Traceback" in text and str(ROOT / "mountgauge") in text
    assert code in (None, 0) and not failed, f"{command}: exit {code}, {text[-2000:]}"


def reports(folder: Folder, name: str) -> None:
    """Nothing listens at this address: the command says so in one line."""
    process = folder.start(f"python -m mountgauge {name} 127.0.0.1:1")
    text, _ = process.communicate(timeout=END_LIMIT_S)
    assert process.returncode in (0, 1) and "Traceback" not in text, f"{name}: {text[-2000:]}"


def run_command(folder: Folder, command: str) -> None:
    """Run one of the README's commands."""
    if command in CI_RUNS_IT:
        assert f"\n{command.removeprefix('make ')}:" in (ROOT / "Makefile").read_text()
    elif command == "make run":  # without the platform's variables it says what is missing
        process = folder.start(make_recipe("run"))
        text, _ = process.communicate(timeout=END_LIMIT_S)
        assert process.returncode == 2 and text.count("\n") == 1, text
    elif command == "make lab":
        succeeds(folder, make_recipe("lab") + " --no-page")  # its charts need the lab's own environment
    elif command.startswith("make "):
        begins(folder, make_recipe(command.removeprefix("make ")))
    elif command.startswith("python -m benchmarks."):
        begins(folder, command)
    else:
        words = command.removeprefix("python -m mountgauge ").split()
        name = " ".join(words[:2]) if words[0] == "lab" else words[0]
        if name in REPORTS:
            reports(folder, name)
        elif name == "check":
            succeeds(folder, f"python -m mountgauge check {FILES[name]}")
        else:
            argument = FILES.get(name, " ".join(words[2:]))
            argument += " --no-page" if name == "lab scale" else ""
            begins(folder, f"python -m mountgauge {name} {argument}")


@pytest.mark.parametrize("command", readme_commands())
def test_each_command_of_the_readme_works(command: str, folder: Folder) -> None:
    """Guards against commands that the README names and that fail at once, as `make lab` did."""
    run_command(folder, command)


def test_the_readme_has_commands() -> None:
    assert len(readme_commands()) > 15
