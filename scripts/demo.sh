#!/usr/bin/env bash
# Runs a small deployment as separate processes, shows how it handles failures, and
# stops all processes at the end, also after an error. Prints "demo ok" at the end if it
# was not stopped by an error. The logs are deleted unless KEEP_LOGS is set.
set -euo pipefail
cd "$(dirname "$0")/.."
settings=deploy/demo.jsonc
logs=$(mktemp -d)
declare -A pid

step() { echo "--- $*"; }
address() { # address VM FIELD: print a field of the VM in the settings
	grep "\"vm\": \"$1\"" "$settings" | sed "s/.*\"$2\": \"\([^\"]*\)\".*/\1/"
}
launch() { # launch PROGRAM VM: start a process in the background, with a log file
	"./build/$1" --settings "$settings" --vm "$2" >"$logs/$2.log" 2>&1 &
	pid[$2]=$!
}
refused() { # refused COMMAND: run a command that must fail
	if "$@"; then
		echo "expected to fail: $*"
		return 1
	fi
}
stop_all() {
	for p in "${pid[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	[ -n "${KEEP_LOGS:-}" ] || rm -rf "$logs"
}
trap stop_all EXIT

engines=(assistant-llm-1 assistant-llm-2 assistant-llm-3)
plains=(meetup-app-1 meetup-app-2)
routers=(nl-west-entry-1 nl-west-entry-2)
r1=$(address nl-west-entry-1 listen)
r2=$(address nl-west-entry-2 listen)
call() { ./build/bench call --api-key amsterdam-key "$@"; }
lists=(--settings "$settings" --plans deploy/demo-plans.jsonc --uses deploy/demo-uses.jsonc)

step "start the stand-ins, 5 sidecars and 2 routers"
./build/standin --settings "$settings" >"$logs/standin.log" 2>&1 &
pid[standin]=$!
sleep 0.5
for vm in "${engines[@]}" "${plains[@]}"; do launch sidecar "$vm"; done
for vm in "${routers[@]}"; do launch router "$vm"; done
admins=()
for vm in "${engines[@]}" "${plains[@]}" "${routers[@]}"; do admins+=("$(address "$vm" admin)"); done
./build/bench wait --state up "${admins[@]}"

step "check and publish the two lists"
./build/kingcuprun check "${lists[@]}"
./build/kingcuprun publish "${lists[@]}"
./build/bench wait "${admins[@]}"

step "a whole answer through each router"
call --router "$r1" --model assistant-llm --text "draft a guide want=6"
call --router "$r2" --model assistant-llm --text "draft a guide want=6" --quiet

step "a streamed answer through each router"
call --router "$r1" --model assistant-llm --text "hello want=3" --stream
call --router "$r2" --model assistant-llm --text "hello want=3" --stream --quiet

step "a booking, sent again through the other router: one effect"
call --router "$r1" --path /services/meetup-app/book --key booking-1 --text '{"slot":7}'
call --router "$r2" --path /services/meetup-app/book --key booking-1 --text '{"slot":7}' | tee "$logs/again"
grep -q '"count":1' "$logs/again"

step "a plan that does not allow, an unknown model, an unknown key"
refused ./build/bench call --api-key utrecht-key --router "$r1" --path /services/meetup-app/book --text '{}' 2>/dev/null
refused call --router "$r1" --model no-such-model --text hi 2>/dev/null
refused ./build/bench call --api-key wrong --router "$r1" --model assistant-llm --text hi 2>/dev/null

step "kill a router in mid-stream and send the same key to the other"
call --router "$r1" --model assistant-llm --text "long want=500" --key long-1 --stream --quiet >"$logs/cut" 2>&1 &
cut=$!
sleep 0.6
kill -KILL "${pid[nl-west-entry-1]}"
wait "$cut" && { echo "expected a cut stream"; exit 1; }
cat "$logs/cut"
call --router "$r2" --model assistant-llm --text "long want=500" --key long-1 --stream --quiet
runs=0
for vm in "${engines[@]}"; do
	n=$(./build/bench call --method GET --router "$(address "$vm" upstream)" --path /ran | grep -o '"long-1":[0-9]*' | cut -d: -f2 || true)
	runs=$((runs + ${n:-0}))
done
echo "the engines ran it $runs time(s)"
[ "$runs" = 1 ]
launch router nl-west-entry-1
./build/bench wait "$(address nl-west-entry-1 admin)"

step "publish a top-up; a publication that replaces an old version is refused"
sed 's/{"name": "2026-12", "tokens": 2000}/{"name": "2026-12", "tokens": 2000}, {"name": "extra", "tokens": 500}/' deploy/demo-plans.jsonc >"$logs/plans.jsonc"
./build/kingcuprun publish --settings "$settings" --plans "$logs/plans.jsonc" --uses deploy/demo-uses.jsonc
refused ./build/kingcuprun publish "${lists[@]}" --replaces 1

step "use up a budget"
ok=0
for i in $(seq 1 40); do
	if ./build/bench call --api-key utrecht-key --router "$r2" --model assistant-llm --text "want=200 n$i" --quiet >"$logs/use" 2>&1; then ok=$((ok + 1)); else break; fi
done
tail -n 2 "$logs/use"
echo "$ok requests were served"
grep -q budget_ "$logs/use"
sleep 9
./build/kingcuprun show --settings "$settings" utrecht-small

step "mark a VM as leaving: it gets no new work"
./build/kingcuprun leave --settings "$settings" assistant-llm-2
./build/bench wait --state leaving "$(address assistant-llm-2 admin)"
before=$(./build/bench call --method GET --router "$(address assistant-llm-2 upstream)" --path /ran --quiet | grep -o 'bytes=[0-9]*')
for i in $(seq 1 20); do call --router "$r1" --model assistant-llm --text "after $i" --quiet >"$logs/after"; done
after=$(./build/bench call --method GET --router "$(address assistant-llm-2 upstream)" --path /ran --quiet | grep -o 'bytes=[0-9]*')
echo "runs at the leaving upstream before and after: $before $after"
[ "$before" = "$after" ]

step "explain a request"
id=$(sed -n 's/.*request=\(req-[A-Z0-9]*\).*/\1/p' "$logs/after")
./build/kingcuprun explain --settings "$settings" "$id"

step "stop all processes gracefully"
for vm in "${routers[@]}" "${engines[@]}" "${plains[@]}"; do
	kill -TERM "${pid[$vm]}"
	wait "${pid[$vm]}"
	unset "pid[$vm]"
done
./build/kingcuprun show --settings "$settings" utrecht-small | head -n 2
echo "demo ok"
