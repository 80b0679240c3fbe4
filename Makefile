# Development commands. `make demo` and `make test` require only Python 3.11 and pip.
PYTHON ?= python3.11
VENV ?= .venv
PACKAGES := model link config control jobs entry daemon testing
export PYTHONPATH := $(subst $() ,:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/foxspring-$(p)) $(CURDIR)/platform)
RUN := $(VENV)/bin/python

.PHONY: demo test check format bench soak platform-soak settings-page

$(VENV)/.installed: requirements.lock $(foreach p,$(PACKAGES),packages/foxspring-$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --config-settings editable_mode=compat $(foreach p,$(PACKAGES),-e packages/foxspring-$(p))
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m compileall -q packages
	$(RUN) -m foxspring_testing.demo

test: $(VENV)/.installed
	$(RUN) tools/run_tests.py $(TESTS)

check: $(VENV)/.installed
	$(VENV)/bin/ruff format --check --no-cache .
	$(VENV)/bin/ruff check --no-cache .
	$(VENV)/bin/mypy --no-incremental --cache-dir=/dev/null $(foreach p,$(PACKAGES),packages/foxspring-$(p)/foxspring_$(p)) platform/foxspring_platform tools

format: $(VENV)/.installed
	$(VENV)/bin/ruff format --no-cache .
	$(VENV)/bin/ruff check --no-cache --fix .

bench: $(VENV)/.installed
	$(RUN) -m foxspring_testing.bench $(BENCH)

soak: $(VENV)/.installed
	$(RUN) -m foxspring_testing.soak --seconds $(or $(SECONDS),600) --seed $(or $(SEED),1)

platform-soak: $(VENV)/.installed
	$(RUN) -m foxspring_platform.tests.soak --seconds $(or $(SECONDS),60) --seed $(or $(SEED),1)

settings-page: $(VENV)/.installed
	$(RUN) -c "from foxspring_config import settings_page; print(settings_page(), end='')" > docs/SETTINGS.md
