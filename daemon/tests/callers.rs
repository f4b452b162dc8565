//! Wrong calls at a real daemon: each gets its status and names the field, and nothing else is
//! affected. The platform is absent, so that every call is answered by the daemon alone.

use pomelotide_wire::{HttpClient, HttpReply};
use std::{
    env, fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// How long the daemon may take to answer for the first time.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The attempts to find free ports.
const MAX_STARTS: usize = 5;
/// The digest of the secret "operator".
const OPERATOR: &str = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23";

/// A call's method, path, headers and body, its status and a part of the answer.
type Case<'a> = (
    &'a str,
    &'a str,
    &'a [(&'a str, &'a str)],
    &'a str,
    u16,
    &'a str,
);

/// A daemon that ends with the test.
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
    /// Starts a daemon; takes other ports where someone was faster.
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

    /// Says whether the daemon answers before it ends or the limit is over.
    fn await_answer(&mut self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < START_TIMEOUT {
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

    /// Sends a call; returns the status and the body.
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
fn wrong_calls_name_the_field_and_affect_nothing_else() {
    let daemon = Daemon::start();
    let ask = "/v1/queues/loans/requests";
    let operator = ("authorization", "Bearer operator");
    let long = "x".repeat(300_000);
    let huge = "x".repeat(1_100_000);
    let cases: &[Case<'_>] = &[
        ("GET", "/nope", &[], "", 404, "\"path\""),
        ("GET", "/v1", &[], "", 404, "\"path\""),
        ("PUT", "/v1/jobs", &[], "", 405, "GET, POST"),
        ("GET", ask, &[], "", 405, "POST"),
        ("DELETE", "/v1/status", &[], "", 405, "GET"),
        (
            "POST",
            "/v1/queues/a%20b/requests",
            &[],
            "",
            400,
            "\"queue\"",
        ),
        ("POST", ask, &[("deadline", "5")], "", 400, "\"deadline\""),
        ("POST", ask, &[("deadline", "0s")], "", 400, "out of range"),
        (
            "POST",
            ask,
            &[("deadline", "6min")],
            "",
            400,
            "at most 300000ms",
        ),
        ("POST", ask, &[("idempotent", "1")], "", 400, "yes or no"),
        (
            "POST",
            ask,
            &[("idempotent", "yes"), ("idempotent", "no")],
            "",
            400,
            "more than once",
        ),
        (
            "POST",
            ask,
            &[("request-id", "a b")],
            "",
            400,
            "\"request-id\"",
        ),
        (
            "POST",
            ask,
            &[("request-id", "a~b")],
            "",
            400,
            "\"request-id\"",
        ),
        (
            "POST",
            ask,
            &[("authorization", "Basic x")],
            "",
            400,
            "Bearer SECRET",
        ),
        ("POST", ask, &[], &long, 413, "262144 bytes"),
        ("POST", ask, &[], &huge, 413, "1048576 bytes"),
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
        ("POST", ask, &[], "x", 503, "stale_config"),
    ];
    for (method, path, headers, body, status, part) in cases {
        let (got, shown) = daemon.send(method, path, headers, body);
        assert_eq!(got, *status, "{method} {path} {headers:?}: {shown}");
        assert!(shown.contains(part), "{method} {path} {headers:?}: {shown}");
        assert_eq!(daemon.send("GET", "/healthz", &[], "").0, 200);
    }
    let (_, status) = daemon.send("GET", "/v1/status", &[], "");
    for nothing in ["\"open_calls\":0", "\"waiting\":0", "\"tasks_running\":0"] {
        assert!(status.contains(nothing), "{status}");
    }
}

#[test]
fn what_a_lone_daemon_knows_is_shown() {
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
fn a_body_that_is_cut_short_is_refused_and_ends_the_connection() {
    let daemon = Daemon::start();
    let head = "POST /v1/queues/loans/requests HTTP/1.1\r\nhost: a\r\n";
    for broken in [
        "deadline: 5\r\ncontent-length: 50\r\n\r\nshort",
        "content-length: 50\r\n\r\nshort",
        "transfer-encoding: chunked\r\n\r\n5\r\nab",
        "transfer-encoding: chunked\r\n\r\nzz\r\nGET /healthz HTTP/1.1\r\nhost: a\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(daemon.callers).expect("a connection");
        let call = format!("{head}{broken}");
        stream.write_all(call.as_bytes()).expect("the call is sent");
        stream.shutdown(Shutdown::Write).expect("the end is sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 400 "), "{broken:?}: {answer}");
        assert!(
            answer.contains("\"outcome\":\"malformed\""),
            "{broken:?}: {answer}"
        );
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    }
}

#[test]
fn a_body_without_end_is_cut_off() {
    let daemon = Daemon::start();
    let mut stream = TcpStream::connect(daemon.callers).expect("a connection");
    let head = "POST /nope HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let piece = vec![b'x'; 1_024 * 1_024];
    let mut pieces = 0..256;
    let cut_off = pieces.any(|_| stream.write_all(&piece).is_err());
    assert!(cut_off, "256 MiB were taken in");
    assert_eq!(daemon.send("GET", "/healthz", &[], "").0, 200);
}
