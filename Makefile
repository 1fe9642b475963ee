# Build, test, lint, run and show saltstage.
.PHONY: demo demo-fleet build test lint run clean

# The relay at work in front of stand-in gateways: nothing but Java and Maven is needed.
demo: build
	bin/lab demo

# The fleet as one: three coordinators, two regions in maintenance, a leader and an agent killed on the way;
# then changes of the configuration that go into force everywhere while the leader dies.
demo-fleet: build
	bin/lab demo-fleet

build:
	mvn -B -q -DskipTests package
	bin/archive

test:
	mvn -B verify

lint:
	mvn -B -q checkstyle:check@default

# CONFIG names the configuration file, as GW_CONFIG does in service; SETTINGS the operator's own, if any.
run: build
	bin/saltstage serve --config "$(CONFIG)" $(if $(SETTINGS),--settings "$(SETTINGS)")

clean:
	mvn -B -q clean
