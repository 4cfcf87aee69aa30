PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/ready

.PHONY: demo demo-platform serve test lint format generate bench capacity soak soak-platform soak-planned soak-streams soak-order soak-connections safeguards clean

$(READY): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m demo.run

demo-platform: $(READY)
	$(BIN)/python -m demo.platform

serve: $(READY)
	$(BIN)/python -m demo.run --serve

test: $(READY) lint
	$(BIN)/python -m tests.run

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/generate.py --check
	$(BIN)/python tools/reference.py --check

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: $(READY)
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/reference.py

clean:
	rm -rf $(VENV)

bench: $(READY)
	$(BIN)/python -m bench.latency
	$(BIN)/python -m bench.claims
	$(BIN)/python -m bench.failover
	$(BIN)/python -m bench.background
	$(BIN)/python -m bench.compare $(ARGS)

capacity: $(READY)
	$(BIN)/python -m bench.capacity

soak: $(READY)
	$(BIN)/python -m tests.soak --seconds $$(( $(or $(MINUTES),5) * 60 )) --seed $(or $(SEED),1)

soak-platform: $(READY)
	$(BIN)/python -m tests.platformsoak --seconds $(or $(SECONDS),20) --seed $(or $(SEED),1) --runs $(or $(RUNS),1)

soak-planned: $(READY)
	$(BIN)/python -m tests.plannedsoak --seconds $(or $(SECONDS),12) --seed $(or $(SEED),1) --runs $(or $(RUNS),1)

soak-streams: $(READY)
	$(BIN)/python -m tests.streamsoak --seconds $(or $(SECONDS),12) --seed $(or $(SEED),1) --runs $(or $(RUNS),1)

soak-order: $(READY)
	$(BIN)/python -m tests.ordersoak --seconds $(or $(SECONDS),12) --seed $(or $(SEED),1) --runs $(or $(RUNS),1)

soak-connections: $(READY)
	$(BIN)/python -m tests.connectionsoak --seconds $(or $(SECONDS),12) --seed $(or $(SEED),1) --runs $(or $(RUNS),1)

safeguards: $(READY)
	$(BIN)/python -m tests.safeguards
