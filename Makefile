PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: venv demo test soak lint types proto

venv: $(VENV)/.done

$(VENV)/.done: requirements/run.txt requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check \
	    -r requirements/dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

demo: venv
	$(BIN)/lugcross demo

# Decisions are tested side by side; what starts processes runs after them,
# one by one: some of these tests start a process again at the port that it
# had, which a test beside them may have taken meanwhile.
TEST_JOBS ?= 4
DECISIONS := $(addprefix testing/,agent answer_matching cfg \
    connection_limits crash_suspects drain_times edge entry experts \
    evacuation held_bytes membership placement rate_limits reachability \
    routing shares topic_reads urgency)
ALONE := $(addprefix testing/edge/,test_process.py test_state_sync.py)

test: venv
	$(BIN)/pytest -n $(TEST_JOBS) $(addprefix --ignore=,$(ALONE)) $(DECISIONS)
	$(BIN)/pytest $(ALONE)
	$(BIN)/pytest $(addprefix --ignore=,$(DECISIONS))

# Faults around real processes: SEEDS seeds from SEED on; CI runs three.
SEED ?= 1
SEEDS ?= 50
soak: venv
	SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) $(BIN)/pytest testing/soak

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src testing bench

types: venv
	$(BIN)/mypy

proto: venv
	$(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src \
	    --pyi_out=src --grpc_python_out=src \
	    src/lugcross/rpc/lugcross.proto
