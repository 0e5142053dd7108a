# All targets set up .venv by themselves; python3.11 is all they need.
PYTHON311 ?= python3.11
VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready
GENERATED := build/gen

.PHONY: demo test format lint generate lock binary matrix check-model \
	bench-path bench-overload bench-capacity clean

demo: $(READY)
	$(PYTHON) -m standins.demo

test: $(READY)
	$(PYTHON) -m tools.run_checks

format: $(READY)
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

lint: $(READY)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

# needs Debian's thrift-compiler (0.17); its code works with the 0.25 runtime
generate:
	rm -rf $(GENERATED)
	mkdir -p $(GENERATED)
	thrift --gen py -out $(GENERATED) eelgrassmount.thrift
	cp $(GENERATED)/eelgrassmount/gen/*.py eelgrassmount/gen/

# needs pip-tools on the PATH
lock:
	pip-compile -q --generate-hashes --allow-unsafe --strip-extras --no-header \
	  --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	  -o requirements-runtime.lock pyproject.toml
	pip-compile -q --generate-hashes --allow-unsafe --strip-extras --no-header \
	  --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	  --extra dev -c requirements-runtime.lock -o requirements.lock pyproject.toml

binary: $(READY)
	$(PYTHON) -m tools.build_binary

# WITHOUT=NAME leaves one mechanism out, to see the promises broken
matrix: $(READY)
	$(PYTHON) -m tests.matrix $(if $(WITHOUT),--without $(WITHOUT))

check-model: $(READY)
	$(PYTHON) -m tests.model

bench-path bench-overload bench-capacity: bench-%: $(READY)
	$(PYTHON) -m benchmarks.$*

clean:
	rm -rf build dist out

$(READY): requirements.lock
	$(PYTHON311) -m venv --clear $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
	  --require-hashes -r requirements.lock
	touch $@
