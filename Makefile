# Build, test, lint and run saltstage.
.PHONY: build test lint run clean

build:
	mvn -B -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -B -q checkstyle:check@default

# CONFIG names the configuration file, as GW_CONFIG does in service.
run: build
	bin/saltstage serve --config "$(CONFIG)"

clean:
	mvn -B -q clean
