PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test format lint bench measure slopes faults soak clean

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch .venv/installed

demo: .venv/installed
	$(BIN)/python -m brasstrail.tools.demo

test: .venv/installed
	$(BIN)/python -m brasstrail.tools.checks

format: .venv/installed
	$(BIN)/ruff format brasstrail
	$(BIN)/ruff check --fix brasstrail

lint: .venv/installed
	$(BIN)/ruff format --check brasstrail
	$(BIN)/ruff check brasstrail

bench: .venv/installed
	mkdir -p out
	$(BIN)/python -m brasstrail.tools.bench --out out/bench.json
	$(BIN)/python -m brasstrail.tools.bench_state --out out/state.json

faults: .venv/installed
	$(BIN)/python -m brasstrail.tools.faults

measure: .venv/installed
	$(BIN)/python -m brasstrail.tools.measure \
		--policy granted --policy power_of_two --policy least_outstanding \
		--policy round_robin --seed 1 --seed 2 --seed 3 --seed 4 --seed 5

slopes: bench
	$(BIN)/python -m brasstrail.tools.slopes --bench out/bench.json --state out/state.json
	$(BIN)/python -m brasstrail.tools.pages

clean:
	rm -rf .venv build out var

# SEEDS="1 2 3" names the seeds, SECONDS_OF_FAULTS how long faults come.
SEEDS ?= 1 2 3
SECONDS_OF_FAULTS ?= 20

soak: .venv/installed
	$(BIN)/python -m brasstrail.tools.soak $(SEEDS:%=--seed %) \
		--seconds $(SECONDS_OF_FAULTS)
