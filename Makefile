PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SOURCES := $(wildcard packages/*/src) platform/src
TESTS := $(wildcard packages/*/tests)
STAMP := $(VENV)/installed

.PHONY: demo test check format clean

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --no-build-isolation -c constraints.txt -r requirements-dev.txt \
		$(foreach package,$(wildcard packages/*),-e $(package))
	touch $@

demo: $(STAMP)
	$(BIN)/python -m ebonyhatch.testing.demo

check: $(STAMP)
	$(BIN)/black --check --quiet packages platform
	$(BIN)/ruff check --quiet packages platform
	$(BIN)/mypy $(SOURCES)

test: check
	$(BIN)/python -m pytest -n 4
	$(BIN)/python -m pytest -c platform/pytest.ini platform/tests

format: $(STAMP)
	$(BIN)/black --quiet packages platform
	$(BIN)/ruff check --fix --quiet packages platform

clean:
	rm -rf $(VENV)
