# Two commands on a fresh machine: `make demo` runs the front with stand-ins, `make test` runs every check.
.PHONY: demo test
PYTHON ?= python3

.venv-ci/made: requirements.txt requirements-node.txt requirements-fleet.txt requirements-front.txt requirements-dev.txt pyproject.toml
	rm -rf .venv-ci
	$(PYTHON) -m venv .venv-ci
	.venv-ci/bin/pip install -q --disable-pip-version-check -r requirements-dev.txt
	.venv-ci/bin/pip install -q --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

demo: .venv-ci/made
	@.venv-ci/bin/herongap demo

test: .venv-ci/made
	.venv-ci/bin/ruff check --no-cache .
	.venv-ci/bin/python -m pytest -q -p no:cacheprovider
