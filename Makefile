PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp

.PHONY: all env test lint format demo bench clean
all: test lint

env: $(STAMP)

$(STAMP): requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.txt
	@pwd > $$($(BIN)/python -c "import site; print(site.getsitepackages()[0])")/baobabwing.pth
	@printf '#!/bin/sh\nexec "%s" -m baobabwing "$$@"\n' "$(abspath $(BIN))/python" > $(BIN)/baobabwing
	@chmod +x $(BIN)/baobabwing
	@touch $(STAMP)

test: env
	$(BIN)/python -m pytest

lint: env
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: env
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: env
	$(BIN)/python -m baobabwing bench demo

bench: env
	$(BIN)/python -m baobabwing bench run tijera-rush --seconds 30

clean:
	rm -rf $(VENV) build dist out

# One ELF file that needs no Python on the host.
.PHONY: binary
binary: env
	$(BIN)/python packaging/build.py

# Every fault at every step over real processes; writes docs/FAULTS.md.
MATRIX_TESTS := tests/features tests/matrix tests/guards tests/requests tests/homes \
	tests/node tests/orders tests/settings tests/fleet
.PHONY: matrix fuzz
matrix: env
	@mkdir -p out
	$(BIN)/python -m pytest $(MATRIX_TESTS) --matrix --show-capture=no \
		--results out/matrix.json; status=$$?; \
	$(BIN)/python -m baobabwing.bench.matrix.table docs/FAULTS.md out/matrix.json; \
	exit $$status

# make fuzz SEED=7 EXAMPLES=400 PROCESS_EXAMPLES=20 REQUESTS=2000
SEED ?= 4
EXAMPLES ?= 400
PROCESS_EXAMPLES ?= 10
REQUESTS ?= 2000
fuzz: env
	$(BIN)/python -m pytest tests/matrix/test_fuzz_in_process.py --show-capture=no \
		--fuzz-seed $(SEED) --fuzz-examples $(EXAMPLES)
	$(BIN)/python -m pytest tests/matrix/test_fuzz_processes.py \
		tests/matrix/test_campaign.py --matrix -s --fuzz-seed $(SEED) \
		--process-examples $(PROCESS_EXAMPLES) --campaign-requests $(REQUESTS)

.PHONY: soak
# make soak MINUTES=30
MINUTES ?= 10
soak: env
	$(BIN)/python -m baobabwing.bench.soak --minutes $(MINUTES)

# The whole path of the users' platform against our own stand-ins.
# make platform-demo SEED=7
.PHONY: platform-demo
platform-demo: env
	PYTHONPATH=platform $(BIN)/python -m tests.platform_adapter.demo $(SEED)

# Faults from outside against real nodes, drawn by seeds; SEEDS=50 takes 8 minutes.
SEEDS ?= 50
.PHONY: platform-soak
platform-soak: env
	PYTHONPATH=platform $(BIN)/python -m tests.platform_adapter.soak.run --first $(SEED) \
		--seeds $(SEEDS)
