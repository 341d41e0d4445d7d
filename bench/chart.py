"""A chart's step: by the library, and by the table built from its reading."""

from __future__ import annotations

import json
import pathlib
import time

import irisshelf.charts
from irisshelf.charts import chart

_STEPS = 20_000


def measure() -> dict[str, float]:
    """Returns microseconds a step of the attempt's chart, both ways."""
    folder = pathlib.Path(irisshelf.charts.__file__).parent
    machine = chart.build_machine(
        json.loads((folder / "attempt.json").read_text())
    )
    model = _Model()
    machine.add_model(model)
    began = time.perf_counter()
    for _ in range(_STEPS):
        machine.set_state("new", model)
        model.trigger("send")
    library = (time.perf_counter() - began) / _STEPS
    table = chart.load("attempt")
    began = time.perf_counter()
    for _ in range(_STEPS):
        table.step("new", "send")
    own = (time.perf_counter() - began) / _STEPS
    return {
        "chart_step_library_us": library * 1e6,
        "chart_step_table_us": own * 1e6,
    }


class _Model:
    """Carries the library's state."""
