PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint binary bench slopes policy requests matrix scenarios-live soak

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch .venv/ready

demo: .venv/ready
	$(BIN)/curranthall demo

test: .venv/ready
	$(BIN)/python -m tests

lint: .venv/ready
	$(BIN)/black --quiet --check src tests tools
	$(BIN)/ruff check --quiet src tests tools
	$(BIN)/mypy --no-error-summary

binary: .venv/ready
	$(BIN)/python -m tools.binary

bench: .venv/ready
	$(BIN)/python -m tools.bench

slopes: .venv/ready
	$(BIN)/python -m tools.slopes

requests: .venv/ready
	$(BIN)/python -m tools.requests

policy: .venv/ready
	$(BIN)/python -m tools.policy

matrix: .venv/ready
	$(BIN)/python -m tests.matrix

scenarios-live: .venv/ready
	$(BIN)/python -m tests.live

# One seed with SEED=n SECONDS=s; without SEED fresh seeds, one after the other.
soak: .venv/ready
	$(BIN)/python -m tests.soak $(or $(SEED),fresh) $(or $(SECONDS),60)
