#!/usr/bin/env bash
# The process of a relay is replaced as DAYS says: the platform holds the clients' listening socket and starts 'run' a
# second time; 6 s later the old process gets SIGTERM. The relay's settings switch the AMQP frontend on.
# Broken: the new process ends instead of saying yes (and from then on nobody answers). TROUBLE=0: no replacement.
if [ -z "${HELD_PORT-}" ]; then
  here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
  holder="$here/../support-2/target/holder"
  [ -x "$holder" ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
  exec "$holder" bash "$here/run.sh"
fi
. "$(dirname -- "$0")/../support-2/lib.sh"

read -r -a p <<< "$(stand_in StandIn ports 5)"
cd "$root" || exit 2
begin backends java -cp "$classes" StandIn backends "$work/backends.txt" "gw-1=127.0.1.1:${p[0]}" "gw-2=127.0.1.2:${p[1]}"
wait_for 10 grep -q ready "$work/backends.log" || cannot "no backends"
entry() {
  printf '{"uid":"%s","endpoint":"%s","az":"kita-dc","model":"std-6","pod_group":1,"state":"ready","capacity_hint":1.0,"boot_ms":0}' "$1" "$2"
}
cat > "$work/config.json" <<CONFIG
{"name":"n1","listen":"127.0.0.1:$HELD_PORT","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"rev":1,"all":true,"targets":[$(entry gw-1 "127.0.1.1:${p[0]}"),$(entry gw-2 "127.0.1.2:${p[1]}")]},
 "settings":{"Discovery":"on_request","FleetSize":1,"Zone":0,"Zones":["kita-dc"],
  "Limits":{"MaxAttempts":6,"ConnectTimeout":200000,"RetryAfter":true,"MaxRetryAfter":1500000},
  "Realms":[{"Name":"kitaden-charge"}],
  "Services":[{"Name":"status-report","Aim":500000,"GiveUp":2000000,"Effect":"retryable"}]}}
CONFIG
cat > "$work/relay.hcl" <<SETTINGS
amqp {
  listen = "127.0.0.1:${p[2]}"
  anonymous_tenant = "kitaden-charge"
}
SETTINGS
mkdir "$work/shared"
# relay NAME ADMIN-PORT: starts 'run' with the held socket as descriptor 0.
relay() {
  GW_CONFIG="$work/config.json" GW_LISTEN_FD=0 GW_ADMIN="127.0.0.1:$2" TMPDIR="$work/shared" \
    begin "$1" /bin/sh -c "$(relay_command) --settings $work/relay.hcl <&9"
}
relay old "${p[3]}"
old=$last
wait_for 15 grep -q relay.ready "$work/old.log" || cannot "the relay is not ready"
begin clients java -cp "$classes" StandIn clients "127.0.0.1:$HELD_PORT" 200 16 "$work/clients.txt"
clients=$last
sleep 3
ended=""
if [ "$trouble" != 0 ]; then
  relay new "${p[4]}"
  new=$last
  for _ in $(seq 60); do
    sleep 0.1
    if [ -z "$ended" ] && ! kill -0 "$new" 2> /dev/null; then
      wait "$new"
      ended=$?
      note "the new process ended by itself with exit code $ended: $(tail -n 1 "$work/new.log")"
    fi
  done
  grep -q relay.ready "$work/new.log" && note "the new process is ready"
  kill -TERM "$old"
  note "SIGTERM to the old process, 6 s after the new one was started"
fi
wait "$clients"
cat "$work/clients.txt" "$work/backends.txt" >> "$record"
grep -hE 'relay\.|drain\.|saltstage:|amqp' "$work/old.log" "$work/new.log" 2> /dev/null >> "$record"
unanswered=$(awk '$2 == "sent" { open[$3] = 1 } $2 == "answered" && $4 != "null" { delete open[$3] } END { n = 0; for (i in open) n++; print n }' "$work/clients.txt")
note "requests without an answer: $unanswered of $(grep -c ' sent ' "$work/clients.txt")"
[ -z "$ended" ] || broken "the new process ended before its yes; $unanswered requests then got no answer"
[ "$unanswered" -eq 0 ] || broken "$unanswered requests got no answer"
held "each request was answered"
