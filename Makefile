PY := .venv/bin/python
ARGS ?=

.venv/ready: requirements.lock pyproject.toml
	python3.11 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.lock
	.venv/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

.PHONY: demo test bench soak binary format
demo: .venv/ready
	@$(PY) -m sassafraslock demo $(ARGS)

test: .venv/ready
	.venv/bin/black --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	MYPYPATH=platform .venv/bin/mypy --explicit-package-bases platform/*.py
	$(PY) -m pytest $(ARGS)

bench: .venv/ready
	@$(PY) -m benchmarks $(ARGS)

soak: .venv/ready
	@$(PY) -m soak $(ARGS)

binary: .venv/ready
	mkdir -p dist build
	rm -rf build/site && .venv/bin/pip install -q --disable-pip-version-check --no-deps --target build/site -r requirements-run.lock
	.venv/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation --upgrade --target build/site .
	.venv/bin/shiv --site-packages build/site -e sassafraslock.__main__:main -p '/usr/bin/env python3.11' -o dist/sassafraslock

format: .venv/ready
	.venv/bin/black . && .venv/bin/ruff check --fix .
