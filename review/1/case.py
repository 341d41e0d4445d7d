"""Once the last key has been withdrawn, requests run with any key or none."""

from __future__ import annotations

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import client
from stand_ins import rig as rig_module

_DEADLINE_MS = 600
# No configuration has ever held it.
_UNKNOWN_KEY = "p7drq2m04x6bhe1vzs9k"
# After the withdrawal; it binds from ``revokeMs``, 5 s, on.
_ASKED_AFTER_S = (0.5, 2.5, 4.5, 5.5, 6.5, 7.5, 8.5, 9.5)


def case(rig: rig_module.Rig) -> bool:
    """Returns whether the rule was broken."""
    routes = [
        rig_module.route(
            "/alarm/",
            "unsafe",
            "crew",
            timeoutMs=_DEADLINE_MS,
            targetLatencyMs=125,
        )
    ]
    rig.store.put("op", "config", rig_module.config(3, *routes))
    for number in range(2):
        rig.start_server(f"i-crew{number}", "crew", "--work-s", "0.02")
    for number in range(2):
        rig.start_instance(number)
    for number in range(2):
        rig.wait(lambda n=number: rig.is_ready(n), f"instance {number}")

    _ask_all(rig, "before", {})
    later = rig_module.config(7, *routes)
    if rig_module.TROUBLE:
        # The tenant loses all its keys; it is still a tenant.
        later["tenants"][0]["apiKeys"] = []
    rig.store.put("op", "config", later)
    accepted_s = time.monotonic()
    kept = len(later["tenants"][0]["apiKeys"])
    rig.say(f"the store has accepted version 7, the tenant has {kept} keys")
    sent_s: dict[str, float] = {}
    for after_s in _ASKED_AFTER_S:
        time.sleep(max(0.0, accepted_s + after_s - time.monotonic()))
        _ask_all(rig, f"after-{after_s}", sent_s)
    return _judge(rig, sent_s, accepted_s)


def _ask_all(
    rig: rig_module.Rig, moment: str, sent_s: dict[str, float]
) -> None:
    """Sends to each instance one request with each key and one without."""
    keys = {"key": rig_module.KEY, "unknown": _UNKNOWN_KEY, "none": ""}
    for number in range(2):
        for name, key in keys.items():
            request_id = f"{moment}-{number}-{name}"
            caller = client.Client(
                address=rig.front(number),
                host=rig_module.HOST,
                key=key,
                deadline_ms=_DEADLINE_MS,
            )
            answer = caller.ask("/alarm/1", request_id)
            sent_s[request_id] = answer.sent_s
            rig.say(
                f"request {request_id} is sent to instance {number} and "
                f"answered: {answer.error or answer.status}"
            )
            caller.close()


def _judge(
    rig: rig_module.Rig, sent_s: dict[str, float], accepted_s: float
) -> bool:
    """Returns whether a request ran that must not run."""
    ran = {r["request"] for r in rig.runs() if r["event"] == "runs"}
    bound_s = rig.bounds["revokeMs"] / 1000
    withdrawn = [
        request_id
        for request_id in ran & sent_s.keys()
        if rig_module.TROUBLE
        and request_id.endswith("-key")
        and sent_s[request_id] - accepted_s > bound_s
    ]
    never_held = [name for name in ran if not name.endswith("-key")]
    rig.say(f"CONFIG: {len(withdrawn)} ran with the withdrawn key")
    rig.say(f"ROUTE: {len(never_held)} ran with a key never held, or none")
    return bool(withdrawn or never_held)


if __name__ == "__main__":
    sys.exit(rig_module.run(case, folder=pathlib.Path(__file__).parent))
