#!/bin/sh
# Builds what the cases start beside the relay, after the deploy file's build: the coordinator, and the stand-ins into
# review/out. Maven uses what it has fetched already, and the mirrors only if something is missing.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -o -pl coordinator -am -DskipTests package || mvn -B -q -pl coordinator -am -DskipTests package
bin/archive
mkdir -p review/out
javac -d review/out -cp relay/target/saltstage.jar review/standins/*.java
gcc -O1 -Wall -o review/out/listen0 review/standins/listen0.c
