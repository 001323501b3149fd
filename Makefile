PYTHON ?= python3.11
CELL ?= aguaclara
BIN := .venv/bin

.PHONY: venv demo cell test lint bench report

venv: .venv/.ready

.venv/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: venv
	$(BIN)/python -m demo --cell $(CELL)

cell: venv
	$(BIN)/python -m demo --cell $(CELL) --hold

test: venv
	$(BIN)/python -m tests

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: venv
	$(BIN)/python -m bench

report: venv
	$(BIN)/python -m bench --report out/report.html
