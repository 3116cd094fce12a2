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
