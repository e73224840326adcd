# VENV may name an existing environment, for instance one shared by several worktrees.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
TRACE ?= mixed
PYTHONHASHSEED ?= 0
export PYTHONHASHSEED

.PHONY: setup demo test lint format binary clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: setup
	$(BIN)/python -m camphorrun demo --trace $(TRACE)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: setup
	mkdir -p dist
	$(BIN)/shiv --quiet -c camphorrun -o dist/camphorrun -p "/usr/bin/env python3" -r requirements.txt --no-deps .

clean:
	rm -rf build dist out .pytest_cache .ruff_cache
