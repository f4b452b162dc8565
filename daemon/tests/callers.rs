//! Tests the HTTP API of a running daemon, mostly with invalid calls. No platform runs, so the daemon
//! answers every call without it.

use pomelotide_wire::{HttpClient, HttpReply};
use std::{
    env, fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// How long a daemon may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of attempts to start a daemon on free ports.
const MAX_STARTS: usize = 5;
/// The digest of the secret "operator".
const OPERATOR: &str = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23";

/// A call's method, path, headers and body, and the expected status and part of the answer.
type Case<'a> = (
    &'a str,
    &'a str,
    &'a [(&'a str, &'a str)],
    &'a str,
    u16,
    &'a str,
);

/// A daemon process that is killed at the end of a test.
struct Daemon {
    process: Child,
    client: HttpClient,
    callers: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Daemon {
    /// Starts a daemon; tries other ports if another process has taken the first ones.
    fn start() -> Self {
        let mut tries = (0..MAX_STARTS).filter_map(|_| Self::try_start());
        tries.next().expect("a daemon answers")
    }

    fn try_start() -> Option<Self> {
        let ports = free_ports();
        let file = env::temp_dir().join(format!("pomelotided-{}.ini", ports[0]));
        let text = format!(
            "[daemon]\nname = a\ndomain = saiss\ncallers = 127.0.0.1:{}\npeers = 127.0.0.1:{}\n\
             operator_sha256 = {OPERATOR}\n[platform]\naddress = 127.0.0.1:{}\n",
            ports[0], ports[1], ports[2]
        );
        fs::write(&file, text).expect("settings are written");
        let process = Command::new(env!("CARGO_BIN_EXE_pomelotided"))
            .arg("--config")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let client = HttpClient::new(&format!("127.0.0.1:{}", ports[0]), START_TIMEOUT);
        let callers = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let mut daemon = Self {
            process,
            client,
            callers,
        };
        let answers = daemon.await_answer();
        fs::remove_file(&file).expect("settings are removed");
        answers.then_some(daemon)
    }

    /// Returns whether the daemon answers before it exits or [`START_TIMEOUT`] passes.
    fn await_answer(&mut self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < START_TIMEOUT {
            let answers = self.try_send("GET", "/healthz", &[], "").is_some();
            if !matches!(self.process.try_wait(), Ok(None)) {
                return false;
            }
            if answers {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn try_send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<HttpReply> {
        let body = body.as_bytes().to_vec();
        self.client.send(method, path, headers, body).ok()
    }

    /// Sends a call and returns the status and body of the answer.
    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, String) {
        let reply = self.try_send(method, path, headers, body);
        let reply = reply.expect("the daemon answers");
        (
            reply.status,
            String::from_utf8_lossy(&reply.body).into_owned(),
        )
    }
}

fn free_ports() -> [u16; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

#[test]
fn invalid_calls_name_the_field_and_change_nothing() {
    let daemon = Daemon::start();
    let queue_path = "/v1/queues/loans/requests";
    let operator = ("authorization", "Bearer operator");
    let over_payload_limit = "x".repeat(300_000);
    let over_body_limit = "x".repeat(1_100_000);
    let cases: &[Case<'_>] = &[
        ("GET", "/nope", &[], "", 404, "\"path\""),
        ("GET", "/v1", &[], "", 404, "\"path\""),
        ("PUT", "/v1/jobs", &[], "", 405, "GET, POST"),
        ("GET", queue_path, &[], "", 405, "POST"),
        ("DELETE", "/v1/status", &[], "", 405, "GET"),
        (
            "POST",
            "/v1/queues/a%20b/requests",
            &[],
            "",
            400,
            "\"queue\"",
        ),
        (
            "POST",
            queue_path,
            &[("deadline", "5")],
            "",
            400,
            "\"deadline\"",
        ),
        (
            "POST",
            queue_path,
            &[("deadline", "0s")],
            "",
            400,
            "out of range",
        ),
        (
            "POST",
            queue_path,
            &[("deadline", "6min")],
            "",
            400,
            "at most 300000ms",
        ),
        (
            "POST",
            queue_path,
            &[("idempotent", "1")],
            "",
            400,
            "yes or no",
        ),
        (
            "POST",
            queue_path,
            &[("idempotent", "yes"), ("idempotent", "no")],
            "",
            400,
            "more than once",
        ),
        (
            "POST",
            queue_path,
            &[("request-id", "a b")],
            "",
            400,
            "\"request-id\"",
        ),
        (
            "POST",
            queue_path,
            &[("request-id", "a~b")],
            "",
            400,
            "\"request-id\"",
        ),
        (
            "POST",
            queue_path,
            &[("authorization", "Basic x")],
            "",
            400,
            "Bearer SECRET",
        ),
        (
            "POST",
            queue_path,
            &[],
            &over_payload_limit,
            413,
            "262144 bytes",
        ),
        (
            "POST",
            queue_path,
            &[],
            &over_body_limit,
            413,
            "1048576 bytes",
        ),
        ("POST", "/v1/jobs", &[], "{", 400, "line 1 column 1"),
        (
            "POST",
            "/v1/jobs",
            &[],
            "{\"queue\":\"a\",\"need\":\"cpu 1\",\"tsks\":1}",
            400,
            "unknown field `tsks`",
        ),
        (
            "POST",
            "/v1/jobs",
            &[],
            "{\"queue\":\"a\",\"need\":\"cpu 1\",\"tasks\":10001}",
            400,
            "at most 10000",
        ),
        (
            "POST",
            "/v1/jobs",
            &[],
            "{\"queue\":\"a\",\"need\":\"memory 1\"}",
            400,
            "\"need\"",
        ),
        ("POST", "/v1/notes", &[], "", 401, "operator_sha256"),
        ("POST", "/v1/notes", &[operator], "x", 400, "note:1:"),
        (
            "POST",
            "/v1/notes",
            &[operator],
            "[note]\nid = a\nbase = b\n[added team]\n",
            400,
            "note:3: base = b: expected a whole number\\nnote:4:",
        ),
        ("GET", "/v1/explain/a%20b", &[], "", 400, "\"id\""),
        ("GET", "/v1/explain/", &[], "", 400, "\"id\""),
        ("DELETE", "/v1/jobs/x", &[], "", 503, "stale_config"),
        ("POST", queue_path, &[], "x", 503, "stale_config"),
    ];
    for (method, path, headers, body, status, part) in cases {
        let (got, shown) = daemon.send(method, path, headers, body);
        assert_eq!(got, *status, "{method} {path} {headers:?}: {shown}");
        assert!(shown.contains(part), "{method} {path} {headers:?}: {shown}");
        assert_eq!(daemon.send("GET", "/healthz", &[], "").0, 200);
    }
    let (_, status) = daemon.send("GET", "/v1/status", &[], "");
    for idle in ["\"open_calls\":0", "\"waiting\":0", "\"tasks_running\":0"] {
        assert!(status.contains(idle), "{status}");
    }
}

#[test]
fn a_daemon_without_a_platform_serves_its_state() {
    let daemon = Daemon::start();
    assert_eq!(
        daemon.send("GET", "/v1/jobs", &[], ""),
        (200, "[]\n".into())
    );
    assert_eq!(
        daemon.send("GET", "/v1/teams", &[], ""),
        (200, "[]\n".into())
    );
    assert_eq!(
        daemon.send("GET", "/v1/notes", &[], ""),
        (200, "[]\n".into())
    );
    let (status, daemons) = daemon.send("GET", "/v1/daemons", &[], "");
    assert_eq!(status, 200);
    assert!(daemons.contains("\"domain\":\"saiss\""), "{daemons}");
    let refused = &[("request-id", "dawn/1")];
    daemon.send("POST", "/v1/queues/loans/requests", refused, "x");
    let (status, explained) = daemon.send("GET", "/v1/explain/dawn/1", &[], "");
    assert_eq!(status, 200);
    assert!(
        explained.contains("refused, not run: stale_config"),
        "{explained}"
    );
    let (_, metrics) = daemon.send("GET", "/metrics", &[], "");
    assert!(
        metrics.contains("pomelotide_refused_total{reason=\"stale_config\"} 1"),
        "{metrics}"
    );
}

#[test]
fn a_truncated_body_is_rejected_and_closes_the_connection() {
    let daemon = Daemon::start();
    let head = "POST /v1/queues/loans/requests HTTP/1.1\r\nhost: a\r\n";
    for truncated in [
        "deadline: 5\r\ncontent-length: 50\r\n\r\nshort",
        "content-length: 50\r\n\r\nshort",
        "transfer-encoding: chunked\r\n\r\n5\r\nab",
        "transfer-encoding: chunked\r\n\r\nzz\r\nGET /healthz HTTP/1.1\r\nhost: a\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(daemon.callers).expect("a connection");
        let call = format!("{head}{truncated}");
        stream.write_all(call.as_bytes()).expect("the call is sent");
        stream.shutdown(Shutdown::Write).expect("the end is sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(
            answer.starts_with("HTTP/1.1 400 "),
            "{truncated:?}: {answer}"
        );
        assert!(
            answer.contains("\"outcome\":\"malformed\""),
            "{truncated:?}: {answer}"
        );
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    }
}

#[test]
fn an_oversized_body_closes_the_connection() {
    let daemon = Daemon::start();
    let mut stream = TcpStream::connect(daemon.callers).expect("a connection");
    let head = "POST /nope HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let chunk = vec![b'x'; 1_024 * 1_024];
    let mut chunks = 0..256;
    let cut_off = chunks.any(|_| stream.write_all(&chunk).is_err());
    assert!(cut_off, "the daemon read 256 MiB");
    assert_eq!(daemon.send("GET", "/healthz", &[], "").0, 200);
}
