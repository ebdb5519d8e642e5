PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
LIBS = model policy quorum state membership pipeline wire replica layers routing relay node fakes daemon cli soak
STAMP = $(VENV)/.installed

.PHONY: all install test demo format lint check unit clean

all: install

install: $(STAMP)

# One pip call installs every library of the workspace, editable, against the pins.
$(STAMP): constraints.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt setuptools wheel
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation \
		$(foreach lib,$(LIBS),-e libs/$(lib)) -e platform hypothesis rope ruff
	touch $(STAMP)

format: install
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/ruff format --quiet .

lint: install
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .

unit: install
	$(BIN)/python tools/runtests.py

test: lint unit

demo: install
	$(BIN)/python tools/demo.py
	$(BIN)/python tools/platformdemo.py

clean:
	rm -rf $(VENV)
