# Targets: setup, run, test, check, generate, bench, bench-cluster, slopes, soak,
# binary, model.
PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
SCHEMA := src/nutmegknot/_internal/schema
STANDINS := src/nutmegknot_standins
export PYTHONPATH := src:tests:.
export PYTHONHASHSEED := 0

.PHONY: setup run test check generate check-generated format bench bench-cluster slopes soak binary model

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo 'nutmegknot needs Python 3.11 or later; set PYTHON=/path/to/python3.11' >&2; exit 3; }
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.txt
	touch $@

run: setup
	$(PY) -m nutmegknot local --demo

test: setup
	$(PY) -m pytest tests

# Formatter, linter, import rule and types.
check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PY) tools/imports.py
	$(VENV)/bin/mypy src tests tools benchmarks specification

format: setup
	$(VENV)/bin/ruff check --fix --quiet . || true
	$(VENV)/bin/ruff format .

# Writes the generated code beside the schema files.
generate: setup
	PATH="$(VENV)/bin:$$PATH" $(PY) -m grpc_tools.protoc -I src --python_out=src --pyi_out=src --grpclib_python_out=src $(SCHEMA)/*.proto
	PATH="$(VENV)/bin:$$PATH" $(PY) -m grpc_tools.protoc -I src --python_out=src --pyi_out=src $(STANDINS)/*.proto
	$(PY) tools/settings_page.py

check-generated: generate
	git diff --exit-code -- $(SCHEMA) docs/OPERATIONS.md $(STANDINS)
	test -z "$$(git ls-files --others --exclude-standard -- $(SCHEMA) $(STANDINS))"

bench: setup
	$(PY) -m benchmarks.decisions

bench-cluster: setup
	$(PY) -m benchmarks.cluster

slopes: setup
	$(PY) -m benchmarks.slopes

SEEDS ?= 10
FIRST ?= 1

# Attached instances under drawn faults; HEAVY=1 adds large jobs, cancellings and
# faults of all instances, RESTARTS=1 has workers restart under their ids.
soak: setup
	$(PY) tools/soak.py --seeds $(SEEDS) --first $(FIRST) $(if $(HEAVY),--heavy) $(if $(RESTARTS),--restarts)

binary: setup
	$(PY) tools/binary.py

# Checks the specification in full; prints the states explored.
model: setup
	$(PY) -m specification
