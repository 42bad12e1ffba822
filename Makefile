# Two commands on a fresh machine: `make demo` runs the front with stand-ins, `make test` runs every check.
.PHONY: demo test standing
PYTHON ?= python3

.venv-ci/made: requirements.txt requirements-node.txt requirements-fleet.txt requirements-front.txt requirements-dev.txt pyproject.toml
	rm -rf .venv-ci
	$(PYTHON) -m venv .venv-ci
	.venv-ci/bin/pip install -q --disable-pip-version-check -r requirements-dev.txt
	.venv-ci/bin/pip install -q --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

demo: .venv-ci/made
	@.venv-ci/bin/herongap demo

# Three runs side by side, each of which mostly waits; they print one after the other. Those without sockets or a
# clock and then those with clients at full speed, those that start processes or days of their own, and the others;
# a file in no list is one of the others.
PYTEST = .venv-ci/bin/python -m pytest -q -p no:cacheprovider
PURE = $(patsubst %,tests/test_%.py,accord cold design gossip rules)
FLOODS = $(patsubst %,tests/test_%.py,floods hostile_clients)
PROCESSES = $(patsubst %,tests/test_%.py,etcd fleet known_red members processes rehearsal)
test: .venv-ci/made
	.venv-ci/bin/ruff format --no-cache --check --quiet .
	.venv-ci/bin/ruff check --no-cache .
	@mkdir -p logs; ($(PYTEST) $(PURE); status=$$?; $(PYTEST) $(FLOODS); exit $$((status | $$?))) \
	  > logs/pure.txt 2>&1 & pure=$$!; \
	$(PYTEST) $(PROCESSES) > logs/processes.txt 2>&1 & processes=$$!; \
	$(PYTEST) $(patsubst %,--ignore=%,$(PURE) $(FLOODS) $(PROCESSES)); status=$$?; \
	wait $$processes; status=$$((status | $$?)); cat logs/processes.txt; \
	wait $$pure; status=$$((status | $$?)); cat logs/pure.txt; exit $$status

# The operators' standing test, quick: it needs their kit beside the checkout, and says so where there is none.
KIT = ../given/kit/more
standing:
	@if [ -x $(KIT)/mass/bin/lbreal ]; then \
	  mkdir -p logs; $(KIT)/mass/bin/lbreal score $(KIT)/node/sites/fotopers-brussel.toml --quick \
	    --why "$${WHY:-standing test, quick}" > logs/standing.txt 2>&1 || true; \
	  grep -h "^GATE" logs/standing.txt || tail -n 3 logs/standing.txt; \
	  grep -q "^GATE passed" logs/standing.txt; \
	else echo "no kit beside this checkout: the standing test was not run"; fi
