PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: all demo test bench experiment binary format clean

all: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --disable-pip-version-check -r requirements.txt
	echo "$(CURDIR)/src" > $$($(BIN)/python -c 'import sysconfig; print(sysconfig.get_path("purelib"))')/agaterudder.pth
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo.demo

test: $(STAMP)
	$(BIN)/python -m tests.run

bench: $(STAMP)
	$(BIN)/python -m bench.requests
	$(BIN)/python -m bench.decoding

experiment: $(STAMP)
	$(BIN)/python -m bench.policy

binary: $(STAMP)
	$(BIN)/python -m tools.binary

format: $(STAMP)
	$(BIN)/black src standins demo bench tests tools

clean:
	rm -rf $(VENV) build dist
