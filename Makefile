# Every target sets up what it needs first.
PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
DEPLOYMENT ?= padavu
BINARY_SOURCES := requirements.txt $(wildcard binary/*.*) \
  $(shell find wasabistage -name '*.py' -not -path '*/tests/*' -o -name '*.yaml')

.PHONY: setup test lint format demo proofs bench capacity binary binary-check clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: setup
	$(PY) -m tools.run_tests

proofs: setup
	$(PY) -m tools.proofs

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

binary: dist/wasabistage

dist/wasabistage: $(BINARY_SOURCES)
	$(PYTHON) -m binary.build

binary-check: setup binary
	$(PY) -m tools.run_tests binary.tests.test_launcher binary.tests.test_binary

clean:
	rm -rf $(VENV) build dist var
