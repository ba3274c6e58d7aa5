# Common tasks; `make` without a target lists them. All of them work offline once `make build` has run.
PYTHON ?= python3

.PHONY: help build test lint format run demo clean
help:
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /	/'

build: .venv/.built ## create the environment in .venv
.venv/.built: pyproject.toml
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -e '.[dev]'
	touch $@

test: build ## run all tests
	.venv/bin/python -m pytest -n auto --dist worksteal --ignore=tests/crowds
	.venv/bin/python -m pytest tests/crowds

lint: build ## check style, format and types
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

format: build ## format the whole tree
	.venv/bin/ruff format .

run: build ## run one node with the settings of examples/node.json
	PROXY_CONFIG=examples/node.json .venv/bin/python -m wheatroute

demo: build ## run the examples: a node with toy servers, the external processor, a router set that loses its primary
	.venv/bin/python examples/demo.py
	.venv/bin/python examples/processor_demo.py
	.venv/bin/python examples/system_demo.py

clean: ## remove the environment and the files that tools create
	rm -rf .venv build *.egg-info .pytest_cache .ruff_cache
