"""A planned stop cuts requests that were accepted after its signal."""

from __future__ import annotations

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import client
from stand_ins import rig as rig_module

_CALLERS = 6
_WORK_S = 2.2
_DEADLINE_MS = 5000
# A stream that was begun before the signal keeps the instance at work.
_EVENTS = 13
_GAP_S = 0.5
# After the signal: when the callers send their second requests.
_FIRST_SENT_S = 5.2
_STEP_S = 0.1


def case(rig: rig_module.Rig) -> bool:
    """Returns whether the rule was broken."""
    times = {"timeoutMs": _DEADLINE_MS, "targetLatencyMs": 2500}
    rig.store.put(
        "op",
        "config",
        rig_module.config(
            3,
            rig_module.route("/alarm/", "unsafe", "crew", **times),
            rig_module.route(
                "/digest/",
                "streaming",
                "lm",
                timeoutMs=12000,
                targetLatencyMs=1200,
                gapTargetMs=1000,
            ),
        ),
    )
    for number in range(2):
        work = ("--work-s", str(_WORK_S))
        rig.start_server(f"i-crew{number}", "crew", *work)
    stream = ("--events", str(_EVENTS), "--gap-s", str(_GAP_S))
    rig.start_server("i-lm0", "lm", *stream)
    stopped = rig.start_instance(0)
    rig.start_instance(1)
    for number in range(2):
        rig.wait(lambda n=number: rig.is_ready(n), f"instance {number}")

    callers = [_client(rig, _DEADLINE_MS) for _ in range(_CALLERS)]
    _in_turn(rig, callers, "before", 0.0)
    reader = _client(rig, 12000)
    digest = threading.Thread(
        target=_ask, args=(rig, reader, "/digest/1", "digest", [])
    )
    digest.start()
    time.sleep(0.3)
    signal_s = time.monotonic()
    if rig_module.TROUBLE:
        stopped.send_signal(signal.SIGTERM)
        rig.say("SIGTERM to instance 0")
        threading.Thread(
            target=_kill_in_time, args=(rig, stopped), daemon=True
        ).start()
    time.sleep(_FIRST_SENT_S)
    answers = _in_turn(rig, callers, "after", _STEP_S)
    digest.join()
    return _judge(rig, answers, signal_s)


def _kill_in_time(rig: rig_module.Rig, process) -> None:
    """Kills a process that has not ended in the time that it has."""
    time.sleep(rig.bounds["gracePeriodS"])
    if process.poll() is None:
        rig.say("SIGKILL to instance 0")
        process.kill()


def _client(rig: rig_module.Rig, deadline_ms: int) -> client.Client:
    return client.Client(
        address=rig.front(0),
        host=rig_module.HOST,
        key=rig_module.KEY,
        deadline_ms=deadline_ms,
    )


def _in_turn(
    rig: rig_module.Rig,
    callers: list[client.Client],
    name: str,
    step_s: float,
) -> dict[str, client.Answer]:
    """Lets each caller send a request, one a step; returns the answers."""
    answers: list[tuple[str, client.Answer]] = []
    threads = []
    for number, caller in enumerate(callers):
        request_id = f"{name}-{number}"
        asked = (rig, caller, "/alarm/1", request_id, answers)
        threads.append(threading.Thread(target=_ask, args=asked))
        threads[-1].start()
        time.sleep(step_s)
    for thread in threads:
        thread.join()
    return dict(answers)


def _ask(
    rig: rig_module.Rig,
    caller: client.Client,
    path: str,
    request_id: str,
    answers: list[tuple[str, client.Answer]],
) -> None:
    rig.say(f"request {request_id} is sent on a kept connection")
    answer = caller.ask(path, request_id)
    answers.append((request_id, answer))
    came = f"{answer.status}, {answer.body[:40]!r}"
    rig.say(f"answer to {request_id}: {answer.error or came}")


def _judge(
    rig: rig_module.Rig, answers: dict[str, client.Answer], signal_s: float
) -> bool:
    """Returns whether a request that a server has got ended unanswered.

    Within the time to stop and a second, later than 3 s after the signal, and
    before the request's own deadline.
    """
    passed_on = {r["request"] for r in rig.runs() if r["event"] == "runs"}
    grace_s = rig.bounds["gracePeriodS"]
    lost = [
        request_id
        for request_id, answer in answers.items()
        if not answer.complete
        and request_id in passed_on
        and answer.sent_s - signal_s > 3.0
        and answer.ended_s - signal_s <= grace_s + 1.0
        and answer.ended_s - answer.sent_s < _DEADLINE_MS / 1000
    ]
    rig.say(f"LOST: {len(lost)} of {len(answers)}: {sorted(lost)}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(rig_module.run(case, folder=pathlib.Path(__file__).parent))
