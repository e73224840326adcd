# VENV may name an existing environment, for instance one shared by several worktrees.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
TRACE ?= mixed
BINARY ?= dist/camphorrun
SOURCE_DATE_EPOCH ?= 1700000000
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

# Two builds of one commit are identical: versions are locked, timestamps fixed, and files
# removed that hold paths of the build host (scripts, direct_url.json, RECORD). An old build
# directory would add files that the commit does not have.
binary: setup
	rm -rf build camphorrun.egg-info
	mkdir -p $(dir $(BINARY))
	SOURCE_DATE_EPOCH=$(SOURCE_DATE_EPOCH) $(BIN)/pip install --quiet --no-deps --no-compile \
		--disable-pip-version-check --target build/site -r requirements-lock.txt .
	rm -rf build/site/bin
	find build/site -name direct_url.json -delete -o -name RECORD -delete
	SOURCE_DATE_EPOCH=$(SOURCE_DATE_EPOCH) $(BIN)/shiv --reproducible \
		--site-packages build/site -e camphorrun.cli.main:main \
		-o $(BINARY) -p "/usr/bin/env python3"

clean:
	rm -rf build dist out .pytest_cache .ruff_cache
