"""Signals during the start and the stop of an instance, a real process.

Regression: SIGHUP during the start ended the process, as handlers were set only
after all imports; so did one in its last moments.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

# Their cases start several processes each, so that one runs at a time.
pytestmark = pytest.mark.xdist_group("processes")

_SETTINGS = {
    "instance": "entry-1",
    "data_centre": "a",
    "listen": dict.fromkeys(
        ("front", "ready", "metrics", "peers"), "127.0.0.1:0"
    ),
    # Nothing listens there.
    "store": "127.0.0.1:9",
}
_GIVEN_UP_S = 60.0
_PAUSE_S = 0.005
_CHECK = """
import sys
from irisshelf import lifetime_signals
def hold():
    print(sorted({"gevent", "msgspec", "h11"} & sys.modules.keys()))
    raise SystemExit(0)
lifetime_signals.hold = hold
from irisshelf.platform import __main__ as program
program.main()
"""


@pytest.fixture
def start(tmp_path):
    """Starts instances; returns their processes and their logs."""
    started = []

    def make():
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(_SETTINGS))
        log = tmp_path / "log"
        with log.open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "irisshelf.platform"],
                env=os.environ | {"IRISSHELF_CONFIG": str(path)},
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        started.append(process)
        return process, log

    yield make
    for process in started:
        process.kill()
        process.wait()


def _catches(process, signum):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (caught,) = (
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("SigCgt")
    )
    return bool(int(caught, 16) & 1 << (signum - 1))


def _wait(until):
    end_s = time.monotonic() + _GIVEN_UP_S
    while not until():
        if time.monotonic() > end_s:
            raise TimeoutError("what was waited for did not come")
        time.sleep(_PAUSE_S)


def test_signals_are_held_before_anything_else_is_imported():
    """Guards against imports in front of the handlers."""
    done = subprocess.run(
        [sys.executable, "-c", _CHECK],
        check=True,
        capture_output=True,
        text=True,
    )
    assert done.stdout == "[]\n"


def test_signals_to_reload_at_any_moment_do_not_end_it(start):
    """Guards against gaps between the first handler and the last."""
    process, log = start()
    _wait(lambda: _catches(process, signal.SIGHUP))
    while b'"start"' not in log.read_bytes():
        process.send_signal(signal.SIGHUP)
        time.sleep(_PAUSE_S)
        assert process.poll() is None, log.read_text()
    for _ in range(20):
        process.send_signal(signal.SIGHUP)
        time.sleep(_PAUSE_S)
    _wait(lambda: b'"reload"' in log.read_bytes())
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        time.sleep(_PAUSE_S)
    assert process.returncode == 0


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_to_stop_during_the_start_stops_as_planned(start, signum):
    """Guards against an end without a drain."""
    process, log = start()
    _wait(lambda: _catches(process, signal.SIGHUP))
    process.send_signal(signum)
    assert process.wait(_GIVEN_UP_S) == 0
    assert b'"stop"' in log.read_bytes()
