#!/usr/bin/env bash
# Starts two entry VMs and stand-ins for the platform and for the servers of two services on loopback,
# prints example calls, and stops everything on Ctrl-C or SIGTERM. Logs are in target/demo.
set -eu
cd "$(dirname "$0")"

binary=target/kumquatvane
stand_ins=kumquatvane-standins/target/kumquatvane-standins.jar
logs=target/demo
control=127.0.0.1:8501
ready_seconds=60

if [ ! -x "$binary" ] || [ ! -f "$stand_ins" ]; then
  echo "building $binary and $stand_ins"
  mvn -B -q -DskipTests package
fi
mkdir -p "$logs"

pids=()
# Stops the stand-ins (first in the list) last, so that the VMs can complete requests in flight.
stop() {
  trap - INT TERM EXIT
  kill "${pids[@]:1}" 2>/dev/null || true
  wait "${pids[@]:1}" 2>/dev/null || true
  kill "${pids[0]}" 2>/dev/null || true
  wait "${pids[0]}" 2>/dev/null || true
  echo "stopped"
}
trap 'exit 0' INT TERM

# rota-2 responds 40 times slower than the other instances but reports itself as healthy.
java -Xmx256m -jar "$stand_ins" all --document demo/document.json --port 8500 --control-port 8501 \
  --entry entry-1@127.0.0.1:7001@a --entry entry-2@127.0.0.1:7002@b \
  --ports rota:6001:4 --ports ledger:6101:3 \
  --set rota-2.SLOW_FACTOR=40 >"$logs/stand-ins.log" 2>&1 &
pids+=($!)
trap stop EXIT
for vm in 1 2; do
  "$binary" serve --settings "demo/entry-$vm.json" >"$logs/entry-$vm.log" 2>&1 &
  pids+=($!)
done

deadline=$((SECONDS + ready_seconds))
for admin in 127.0.0.1:9090 127.0.0.1:9091; do
  until curl -sf -o /dev/null "http://$admin/v1/ready"; do
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null || { echo "a process exited early; see $logs" >&2; exit 1; }
    done
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "$admin is not ready after $ready_seconds s; see $logs" >&2
      exit 1
    fi
    sleep 0.2
  done
done

digesters=$(sed -n 's/^digesters=//p' demo/keys.txt)
haulage=$(sed -n 's/^haulage=//p' demo/keys.txt)
wrong=kv1_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA
# UUIDv7: 48 bits of milliseconds, version 7, variant 10, the rest random.
time_bits=$(printf '%012x' "$(date +%s%3N)")
random_bits=$(od -An -N9 -tx1 /dev/urandom | tr -d ' \n')
booking="${time_bits:0:8}-${time_bits:8:4}-7${random_bits:0:3}-8${random_bits:3:3}-${random_bits:6:12}"

cat <<END
Two entry VMs are ready: callers at 127.0.0.1:8080 and 127.0.0.1:8081.

# A look-up. Most servers answer within milliseconds; rota-2 is 40 times slower.
curl -i -H 'Authorization: Bearer $digesters' http://127.0.0.1:8080/rota/deliveries/17

# A booking, and the same booking retried through the other VM: it is executed only once.
curl -i -H 'Authorization: Bearer $digesters' -H 'Idempotency-Key: $booking' -d '{"truck":4}' http://127.0.0.1:8080/rota/bookings
curl -i -H 'Authorization: Bearer $digesters' -H 'Idempotency-Key: $booking' -d '{"truck":4}' http://127.0.0.1:8081/rota/bookings

# A key that belongs to no workspace.
curl -i -H 'Authorization: Bearer $wrong' http://127.0.0.1:8080/rota/deliveries/17

# More than the 2 requests a second and burst of 10 of workspace haulage: counts by status.
for i in \$(seq 60); do curl -s -o /dev/null -w '%{http_code}\n' -H 'Authorization: Bearer $haulage' http://127.0.0.1:8080/ledger/balances/9; done | sort | uniq -c

# Instance states as the VM sees them, and the requests that a server ran.
curl -s http://127.0.0.1:9090/v1/instances
curl -s http://$control/control/backends/rota-1/requests

Ctrl-C stops everything.
END
wait
