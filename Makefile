# Every target sets up what it needs first.
PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
DEPLOYMENT ?= padavu

.PHONY: setup test lint format bench capacity demo clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: setup
	$(PY) -m tools.run_tests

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: setup
	$(PY) -m benchmarks

capacity: setup
	$(PY) -m benchmarks.capacity

demo: setup
	$(PY) -m tools.demo --deployment $(DEPLOYMENT)

clean:
	rm -rf $(VENV) build dist var
