#!/bin/sh
# Builds what the cases 6 to 10 start beside the relay: the coordinator, the laboratory's stand-ins and the review's own.
# Needs Java 17 and Maven, and no network if the libraries that the project declares are in Maven's local store.
set -e
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
cd "$root"
mvn -B -q -o -DskipTests package || mvn -B -q -DskipTests package
bin/archive
classes=review/support-2/target
rm -rf "$classes"
mkdir -p "$classes"
javac -d "$classes" -cp lab/target/lab.jar review/support-2/*.java
gcc -o "$classes/holder" review/support-2/holder.c
