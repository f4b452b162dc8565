# Starting and stopping the processes of a small installation on loopback; sourced by scripts.
# Every process is ended by its id, on every way out.

RUN_DIR=${RUN_DIR:-run}
PIDS=()
# The digest of the secret "operator".
OPERATOR_SHA256=06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23
# Added to every port, so that two installations can run on one machine.
PORT_SHIFT=${PORT_SHIFT:-0}
PLATFORM=127.0.0.1:$((${PLATFORM_PORT:-7000} + PORT_SHIFT))

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
}

# start NAME COMMAND...: starts a process whose output goes to RUN_DIR/NAME.log; sets STARTED.
start() {
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.log" 2>&1 &
    STARTED=$!
    PIDS+=("$STARTED")
}

start_platform() {
    start platform "$BIN/pomelotide-standins" platform --listen "$PLATFORM"
    await "the platform" platform_answers
}

platform_answers() {
    (exec 3<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}") 2>/dev/null
}

# start_workers DOMAIN COUNT
start_workers() {
    start "workers-$1" "$BIN/pomelotide-standins" workers --domain "$1" --count "$2" \
        --platform "$PLATFORM"
}

# start_daemon NAME DOMAIN CALLERS_PORT PEERS_PORT, with ports before the shift.
start_daemon() {
    cat >"$RUN_DIR/$1.ini" <<INI
[daemon]
name = $1
domain = $2
callers = 127.0.0.1:$(($3 + PORT_SHIFT))
peers = 127.0.0.1:$(($4 + PORT_SHIFT))
drain_grace = 1s
operator_sha256 = $OPERATOR_SHA256

[platform]
address = $PLATFORM
INI
    start "$1" "$BIN/pomelotided" --config "$RUN_DIR/$1.ini"
}

# await WHAT COMMAND...: waits until the command succeeds, for 20 seconds at most.
await() {
    local what=$1 tries
    shift
    for ((tries = 0; tries < 200; tries++)); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "gave up waiting for $what" >&2
    return 1
}
