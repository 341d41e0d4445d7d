# Every target makes its own virtual environment when it is missing.
PYTHON ?= python3
VENV := .venv
READY := $(VENV)/.ready
PY := $(VENV)/bin/python
SETTINGS ?= painevirta
SEEDS ?= regressions
INSTANCES ?= 3
# Processes that run the tests; auto: by the machine's processors and memory.
WORKERS ?= auto

.PHONY: setup demo test bench lint format prove soak clean

setup: $(READY)

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

demo: $(READY)
	$(PY) -m irisshelf.testing.demo --fleet $(SETTINGS)

test: $(READY)
	$(PY) -m pytest --numprocesses $(WORKERS)

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(READY)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(READY)
	$(PY) -m bench.main

prove: $(READY)
	$(PY) -m specs.main

soak: $(READY)
	$(PY) -m soak.main --seeds $(SEEDS) --instances $(INSTANCES)

clean:
	rm -rf $(VENV)
