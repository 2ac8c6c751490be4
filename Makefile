# Every target sets up what it needs: a virtual environment and the pinned
# packages of pyproject.toml.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready
SOURCES := src standins bench tests
export UV_USE_IO_URING = 0

.PHONY: test lint format demo bench chaos soak decision overhead capacity proto

$(READY): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(READY)

test: $(READY)
	$(BIN)/python -m pytest

lint: $(READY)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(READY)
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

demo: $(READY)
	$(BIN)/python -m bench demo

SCENARIO ?= swing
POLICY ?= ours
SEED ?= 1
INSTANCES ?= 8
bench: $(READY)
	$(BIN)/python -m bench run --scenario $(SCENARIO) --policy $(POLICY) --seed $(SEED) --instances $(INSTANCES)

MINUTES ?= 1
BREAK ?=
chaos: $(READY)
	$(BIN)/python -m bench chaos --seed $(SEED) --minutes $(MINUTES) --broken '$(BREAK)'

SEEDS ?= 1
soak: $(READY)
	$(BIN)/python -m bench soak --seed $(SEED) --seeds $(SEEDS) --instances $(INSTANCES)

decision: $(READY)
	$(BIN)/python -m bench decision

overhead: $(READY)
	$(BIN)/python -m bench overhead

capacity: $(READY)
	$(BIN)/python -m bench capacity

proto: $(READY)
	cd src && PATH=../$(BIN):$$PATH python -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. siskinpass/process/peer.proto
