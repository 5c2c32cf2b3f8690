.PHONY: build dev lint check test run fleet budgets sharding idle lab comeback
PY = .venv-dev/bin/python

build:            ## what deploy/balancer.toml says: .venv with the pinned requirements
	sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

dev:              ## .venv-dev with the pinned tools
	@cmp -s requirements-dev.txt .venv-dev/installed.txt || (rm -rf .venv-dev && python3 -m venv .venv-dev \
	  && .venv-dev/bin/pip -q install -r requirements-dev.txt && cp requirements-dev.txt .venv-dev/installed.txt)

lint: dev
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/mypy

# Tests that only compute, beside those that wait for sockets and clocks.
PURE = tests/tenants/test_dead_member.py tests/tenants/test_fleet.py tests/tenants/test_model.py tests/tenants/test_counts.py \
  tests/tenants/test_quota.py tests/tenants/test_wire.py tests/tenants/test_recovery.py tests/budgets/test_pure.py \
  tests/budgets/test_fleet.py tests/test_rules.py tests/test_send_guard.py tests/test_list_changes.py tests/sharding/test_network.py \
  tests/sharding/test_placement.py tests/sharding/test_store.py tests/sharding/test_owners.py \
  tests/sharding/test_subscription.py tests/sharding/test_admission.py

# Real sockets and processes, each with its own world: beside the others, which wait for rigs.
CROSSINGS = tests/crossings

check: dev        ## the tests alone
	@sync  # what the installs have written: else the disk holds the tests up meanwhile
	@said=$$(mktemp) crossed=$$(mktemp); { $(PY) -m pytest -p no:cacheprovider $(PURE) > $$said 2>&1; } & pure=$$!; \
	{ $(PY) -m pytest -p no:cacheprovider $(CROSSINGS) > $$crossed 2>&1; } & crossings=$$!; \
	$(PY) -m pytest -p no:cacheprovider $(addprefix --ignore=,$(PURE) $(CROSSINGS)); rest=$$?; \
	wait $$crossings; crossings=$$?; wait $$pure; pure=$$?; cat $$crossed $$said; rm -f $$crossed $$said; \
	test $$pure -eq 0 -a $$crossings -eq 0 -a $$rest -eq 0

test: build lint check

run: build        ## one sender, told what it needs by GW_CONFIG, GW_STATE and the rest
	.venv/bin/python -m mountgauge

.venv-fleet/installed.txt: requirements-fleet.txt
	rm -rf .venv-fleet && python3 -m venv .venv-fleet && .venv-fleet/bin/pip -q install -r requirements-fleet.txt \
	  && cp requirements-fleet.txt .venv-fleet/installed.txt

budgets: .venv-fleet/installed.txt  ## a partner and three senders that share its calls: example/budgets
	@trap 'kill 0' EXIT; .venv-fleet/bin/python example/partner.py & \
	  .venv-fleet/bin/python -m mountgauge agent example/budgets/agent.toml

sharding: build   ## a discovery, a partner, two relays and four senders by shard: example/sharding
	@trap 'kill 0' EXIT; .venv/bin/python example/sharding/stand_ins.py & \
	  .venv/bin/python -m mountgauge relay example/sharding/relay-a.toml & \
	  .venv/bin/python -m mountgauge relay example/sharding/relay-b.toml & \
	  .venv/bin/python -m mountgauge agent example/sharding/agent.toml

fleet: .venv-fleet/installed.txt  ## a partner and three senders that count their tenants together: example/fleet
	@trap 'kill 0' EXIT; .venv-fleet/bin/python example/partner.py & \
	  .venv-fleet/bin/python -m mountgauge agent example/fleet/agent.toml

idle:             ## what idle connections cost, measured: 3,000 of them
	@cmp -s requirements-bench.txt .venv-bench/installed.txt || (rm -rf .venv-bench && python3 -m venv .venv-bench \
	  && .venv-bench/bin/pip -q install -r requirements-bench.txt \
	  && cp requirements-bench.txt .venv-bench/installed.txt)
	.venv-bench/bin/python -m benchmarks.idle --quick

.venv-lab/installed.txt: requirements-lab.txt
	rm -rf .venv-lab && python3 -m venv .venv-lab && .venv-lab/bin/pip -q install -r requirements-lab.txt \
	  && cp requirements-lab.txt .venv-lab/installed.txt

lab: .venv-lab/installed.txt  ## a small fleet that is killed and comes back: example/comeback
	.venv-lab/bin/python -m mountgauge lab rig example/comeback/small.toml --out runs/small

comeback: .venv-lab/installed.txt  ## coming back, measured: twelve senders, with the ramp and without
	.venv-lab/bin/python -m benchmarks.comeback --quick
