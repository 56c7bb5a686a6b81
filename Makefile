PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
DEPLOYMENT ?= kelvinside

.DEFAULT_GOAL := help
.PHONY: help environment format lint test demo measure slopes tables clean

help: ## List the targets and what each is for.
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 14

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

environment: $(VENV)/.ready ## Make the virtual environment from the pinned requirements.

format: environment ## Rewrite the sources in the project's format.
	$(BIN)/ruff format .

lint: environment ## Check the format and the style of the sources.
	$(BIN)/ruff format --check .
	$(BIN)/flake8

test: environment ## Run the tests.
	$(BIN)/python -m pytest

demo: environment ## Serve a real deployment on loopback and check its promises (DEPLOYMENT=kelvinside, taawuniyat or platform).
	$(BIN)/python -m measure.demo --deployment $(DEPLOYMENT)

measure: environment ## Measure the promises under load and faults; ARGS="--only NAME" picks one case.
	$(BIN)/python -m measure.cases $(ARGS)

slopes: environment ## Measure how cost grows with size and write the tables of docs/CAPACITY.md; ARGS="--only NAME" picks.
	$(BIN)/python -m measure.slopes $(ARGS)

tables: environment ## Write the tables of result codes, events, metrics and settings into docs/.
	$(BIN)/python -m chervilshore.tables

clean: ## Remove the virtual environment and caches.
	rm -rf $(VENV) .hypothesis .ruff_cache
