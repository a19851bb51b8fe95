#!/usr/bin/env bash
# Checks the specifications exhaustively with spin. Each mutation removes one mechanism, and the checker must then find
# a violation. Prints one line per run, and at the end the number of passed and failed runs.
set -euo pipefail
cd "$(dirname "$0")"

if ! command -v spin >/dev/null; then
	apt-get update -qq && apt-get install -y -qq spin >/dev/null
fi

build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT

retry="-DREQUESTS=1 -DATTEMPTS=3"
fair="-DREQUESTS=1 -DATTEMPTS=2"
reuse="-DREQUESTS=2 -DATTEMPTS=1 -DCONNECTIONS=1"

# name | specification | mode (safety or liveness) | expected errors (0 or 1) | defines
runs=$(cat <<EOF
request, 3 attempts|request|safety|0|$retry
request, shared connection|request|safety|0|$reuse
request, eventually decided|request|liveness|0|$fair
mutation: once retried after Unknown|request|safety|1|$retry -DMUT_RETRY_UNKNOWN
mutation: once hedged|request|safety|1|$retry -DMUT_HEDGE_ONCE
mutation: transport resends|request|safety|1|$retry -DMUT_TRANSPORT_RESEND
mutation: Unknown counted as NotSent|request|safety|1|$retry -DMUT_UNKNOWN_IS_NOT_SENT
mutation: nested declaration relayed|request|safety|1|$retry -DMUT_RELAYED_DECLARATION
mutation: connection reused after timeout|request|safety|1|$reuse -DMUT_REUSE_CONNECTION
mutation: no deadline|request|liveness|1|$fair -DMUT_NO_DEADLINE
configuration, never reverts|configuration|safety|0|
configuration, newest eventually in force|configuration|liveness|0|
mutation: lower version accepted|configuration|safety|1|-DMUT_ACCEPT_LOWER
mutation: conflicting bytes accepted|configuration|safety|1|-DMUT_ACCEPT_CONFLICT
mutation: no pull from peers|configuration|liveness|1|-DMUT_NO_PEERS
shared reads, recent and never reverts|relay|safety|0|
mutation: older view accepted|relay|safety|1|-DMUT_TAKE_OLDER
mutation: age not passed on|relay|safety|1|-DMUT_AGE_NOT_PASSED
EOF
)

# check NAME SPEC MODE EXPECTED DEFINES: prints the result line. The exit code is 0 if the number of errors is EXPECTED.
check() {
	local name=$1 spec=$2 mode=$3 expected=$4 defines=$5 dir flags options out errors states
	dir=$(mktemp -d "$build/XXXXXX")
	flags="-DSAFETY -DNOCLAIM"
	options=""
	if [ "$mode" = liveness ]; then
		flags="-DNFAIR=3"
		options="-a -f"
	fi
	# shellcheck disable=SC2086
	(cd "$dir" && spin -a $defines "$OLDPWD/$spec.pml" >/dev/null && gcc -O2 -w $flags -o pan pan.c)
	# shellcheck disable=SC2086
	out=$(cd "$dir" && ./pan $options -m1000000 -w24 2>&1)
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$out")
	if grep -q "max search depth too small" <<<"$out"; then errors=incomplete; fi
	if [ "$errors" = "$expected" ]; then
		printf 'ok    %-42s errors %s, %s states\n' "$name" "$errors" "$states"
		return 0
	fi
	printf 'FAIL  %-42s errors %s, want %s, %s states\n' "$name" "$errors" "$expected" "$states"
	return 1
}

pids=()
while IFS='|' read -r name spec mode expected defines; do
	check "$name" "$spec" "$mode" "$expected" "$defines" &
	pids+=($!)
	while [ "$(jobs -rp | wc -l)" -ge 4 ]; do sleep 0.05; done
done <<<"$runs"

passed=0
failed=0
for pid in "${pids[@]}"; do
	if wait "$pid"; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "checks: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
