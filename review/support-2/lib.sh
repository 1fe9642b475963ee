# Functions that the scripts of the review share; sourced by review/N/run.sh.
# shellcheck shell=bash
set -u
case_dir=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
root=$(CDPATH= cd -- "$case_dir/../.." && pwd)
classes="$root/review/support-2/target"
record="$case_dir/record.txt"
trouble=${TROUBLE:-1}
work=$(mktemp -d)
started=()

finish() {
  local pid
  for pid in "${started[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
  for pid in "${started[@]}"; do wait "$pid" 2> /dev/null; done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

: > "$record"
note() { printf '%s %s\n' "$(date +%s.%3N)" "$*" >> "$record"; }
now_ms() { date +%s%3N; }
cannot() { note "cannot run: $*"; tail -n 5 "$work"/*.log >> "$record" 2> /dev/null; exit 2; }
broken() { note "BROKEN: $*"; exit 1; }
held() { note "held: $*"; exit 0; }
stand_in() { java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "$classes" "$@"; }

[ -f "$classes/StandIn.class" ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
[ -f "$root/relay/target/saltstage.jar" ] || { echo "not built: run the build of the deploy file" >&2; exit 2; }

# begin NAME COMMAND...: starts a process of the case; its output goes to NAME.log, its id to $last.
begin() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  last=$!
  started+=("$last")
  note "started $name ($last)"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; 1 if it never did.
wait_for() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@" > /dev/null 2>&1; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# relay_command: the command that starts a relay in service, from the deploy file, without its quotes and comment.
relay_command() { sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$root/deploy/balancer.toml"; }
