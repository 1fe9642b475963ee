#!/usr/bin/env bash
# One of three replicas is cut off from the other two for 6 s. Meanwhile an operator suspends a backend: the majority
# accepts the change. A relay whose first source is the replica that is cut off has the two others as further sources.
# Broken: that replica goes on serving the revision before the accepted one as the newest, or the relay
# sends new requests to the suspended backend over 2 s after the yes. TROUBLE=0: the same without the cut.
. "$(dirname -- "$0")/../support-2/lib.sh"

read -r -a p <<< "$(stand_in StandIn ports 14)"
cut="$work/cut"
members=""
for i in 0 1 2; do
  members="$members
  member \"r$((i + 1))\" {
    peers = \"127.0.0.1:${p[$((2 * i))]}\"
    clients = \"127.0.0.1:${p[$((2 * i + 1))]}\"
  }"
done
# settings NAME REACH: the group's file for one replica, with where it reaches others through the links of the case.
settings() {
  cat > "$work/$1.hcl" <<SETTINGS
coordinator {
  group = "sapporo"
  dir = "$work/data"
$members
$2
}
SETTINGS
}
reach() { printf '  reach "%s" {\n    at = "127.0.0.1:%s"\n  }\n' "$1" "$2"; }
settings all ""
settings r1 "$(reach r3 "${p[6]}")"
settings r2 "$(reach r3 "${p[7]}")"
settings r3 "$(reach r1 "${p[8]}")
$(reach r2 "${p[9]}")"
begin links java -cp "$classes" StandIn proxy "$cut" \
  "127.0.0.1:${p[6]}=127.0.0.1:${p[4]}" "127.0.0.1:${p[7]}=127.0.0.1:${p[4]}" \
  "127.0.0.1:${p[8]}=127.0.0.1:${p[0]}" "127.0.0.1:${p[9]}=127.0.0.1:${p[2]}"
wait_for 10 grep -q ready "$work/links.log" || cannot "no links"
majority="127.0.0.1:${p[1]},127.0.0.1:${p[3]}"
apart="127.0.0.1:${p[5]}"
salt() { "$root/bin/saltstage" "$@"; }
for r in r1 r2 r3; do
  begin "$r" "$root/bin/saltstage" cluster serve --settings "$work/$r.hcl" --name "$r"
done
wait_for 30 salt cluster status --settings "$work/all.hcl" || cannot "no leader"
# The replica that will be cut off does not lead: a change needs no election then.
wait_for 20 salt cluster transfer r1 --settings "$work/all.hcl" || note "r1 leads already, or no transfer"
put() { salt config put --by review --at "$1" "${@:2}"; }
wait_for 20 put "$majority" \
  backend/gw-1 "address=127.0.1.1:${p[10]},zone=kita-dc,cell=1,state=READY,weight=1" \
  backend/gw-2 "address=127.0.1.2:${p[11]},zone=kita-dc,cell=1,state=READY,weight=1" || cannot "no backends"

begin backends java -cp "$classes" StandIn backends "$work/backends.txt" \
  "gw-1=127.0.1.1:${p[10]}" "gw-2=127.0.1.2:${p[11]}"
cat > "$work/config.json" <<CONFIG
{"name":"n1","listen":"127.0.0.1:${p[12]}","discovery":"127.0.0.1:${p[13]}","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":0,"all":true,"targets":[]},
 "settings":{"Discovery":"on_request","FleetSize":1,"Zone":0,"Zones":["kita-dc"],
  "Limits":{"MaxAttempts":6,"ConnectTimeout":200000,"RetryAfter":true,"MaxRetryAfter":1500000,"Probes":true},
  "Report":{"Fields":["x0","queue"],"How":"pull"},"FamilyInfo":{"MessageAim":[60000.0,50000.0]},
  "Safety":{"DrainGrace":1000000,"AskEvery":10000000,"ColdFrom":0.31,"Cold":8700000,"TipMultiple":3.0,"Fall":3000000},
  "Realms":[{"Name":"kitaden-charge"},{"Name":"dosan-power"}],
  "Services":[{"Name":"status-report","Aim":500000,"GiveUp":2000000,"Effect":"retryable"},
   {"Name":"session-check","Aim":800000,"GiveUp":3200000,"Effect":"retryable"}]}}
CONFIG
cat > "$work/relay.hcl" <<SETTINGS
configuration {
  sources = ["$apart", "127.0.0.1:${p[1]}", "127.0.0.1:${p[3]}"]
  zone = "kita-dc"
  dir = "$work/relay-configuration"
}
SETTINGS
cd "$root" || exit 2
GW_CONFIG="$work/config.json" TMPDIR="$work" begin relay /bin/sh -c "$(relay_command) --settings $work/relay.hcl"
wait_for 20 grep -q relay.ready "$work/relay.log" || cannot "the relay is not ready"
begin clients java -cp "$classes" StandIn clients "127.0.0.1:${p[12]}" 50 25 "$work/clients.txt"
serves_both() { grep -q 'run gw-1' "$work/backends.txt" && grep -q 'run gw-2' "$work/backends.txt"; }
wait_for 10 serves_both || cannot "the relay does not use both backends"
sleep 3

cut_at=$(now_ms)
[ "$trouble" = 0 ] || : > "$cut"
note "cut (trouble=$trouble)"
put "$majority" suspension/gw-1 "new kernel" > "$work/put.txt" 2>&1 || cannot "the change was not accepted: $(cat "$work/put.txt")"
yes=$(now_ms)
revision=$(sed 's/^revision \([0-9]*\).*/\1/' "$work/put.txt")
note "accepted by the majority: $(cat "$work/put.txt"), $((yes - cut_at)) ms after the cut"
stale=0
while [ $(($(now_ms) - cut_at)) -lt 5500 ]; do
  asked=$(now_ms)
  answer=$(stand_in StandIn get "http://$apart/v1/configuration/snapshot?revision=0")
  [ $(($(now_ms) - cut_at)) -lt 6000 ] || break
  note "r3 at +$((asked - yes)) ms: $(printf %s "$answer" | cut -c1-48)"
  served=$(printf %s "$answer" | sed -n 's/^200 {"revision":\([0-9]*\).*/\1/p')
  if [ $((asked - yes)) -ge 1000 ] && [ -n "$served" ] && [ "$served" -lt "$revision" ]; then stale=$((stale + 1)); fi
  sleep 0.3
done
while [ $(($(now_ms) - cut_at)) -lt 6000 ]; do sleep 0.02; done
healed=$(now_ms)
rm -f "$cut"
note "healed $((healed - cut_at)) ms after the cut"
sleep 4
cat "$work/clients.txt" "$work/backends.txt" >> "$record"
grep -E 'configuration\.|relay\.ready' "$work/relay.log" >> "$record"
late=$(awk -v from=$((yes + 2000)) -v to="$healed" '$2 == "run" && $3 == "gw-1" && $1 > from && $1 < to' "$work/backends.txt" | wc -l)
after=$(awk -v from=$((healed + 2000)) '$2 == "run" && $3 == "gw-1" && $1 > from' "$work/backends.txt" | wc -l)
note "stale answers of r3: $stale; requests at gw-1 over 2 s after the yes: $late during the cut, $after from 2 s after it"
[ "$stale" -eq 0 ] && [ "$late" -eq 0 ] && [ "$after" -eq 0 ] && held "the accepted change was in force"
broken "$stale stale answers, $late requests to the suspended backend"
