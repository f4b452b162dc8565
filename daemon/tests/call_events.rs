//! Tests that each call of the reducer gets one event.

#![allow(clippy::unwrap_used)]

use pomelotide_core::cell::{AdviceReply, Event, RpcId, WorkerAnswer};
use pomelotide_daemon::{call_event, ConnectionPool};
use pomelotide_platform::{encode_advice_request, parse_task_name, HttpOutcome, HttpRequest};
use std::{
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};
use tokio::{runtime, task::LocalSet};

/// How long a call may take.
const TIMEOUT: Duration = Duration::from_millis(400);
/// How much later than that its outcome may be known.
const MAX_DELAY: Duration = Duration::from_secs(5);

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, work)
}

fn request() -> HttpRequest {
    let step = parse_task_name("a.0.0.1").unwrap().step;
    encode_advice_request(&step, &[]).unwrap()
}

/// Starts a server that sends `answer` to one request and then, if `holds`, keeps the connection open.
fn serve(answer: &'static str, holds: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let _ = stream.write_all(answer.as_bytes());
        if holds {
            thread::sleep(MAX_DELAY);
        }
    });
    address
}

fn outcome(address: SocketAddr) -> HttpOutcome {
    let started_at = Instant::now();
    let pool: Rc<ConnectionPool> = Rc::default();
    let outcome = block_on(async { pool.call(address, &request(), TIMEOUT).await });
    assert!(started_at.elapsed() < TIMEOUT + MAX_DELAY);
    outcome
}

/// Guards against a panic while an answer is read: the reducer waits for ever, a run stays `starting`.
#[test]
fn a_call_that_panics_counts_as_lost() {
    let lost = Event::Worker(RpcId(1), WorkerAnswer::Lost);
    let event = block_on(call_event(
        async { panic!("malformed answer") },
        lost.clone(),
    ));
    assert_eq!(format!("{event:?}"), format!("{lost:?}"));
}

/// Guards against a fallback that replaces the answer.
#[test]
fn a_call_that_is_answered_gets_its_answer() {
    let answered = Event::Advice(RpcId(1), AdviceReply::Busy);
    let lost = Event::Advice(RpcId(1), AdviceReply::Lost);
    let call = answered.clone();
    let event = block_on(call_event(async { call }, lost));
    assert_eq!(format!("{event:?}"), format!("{answered:?}"));
}

/// Guards against a call without an outcome: the server refuses the connection, closes it, or never
/// completes its answer.
#[test]
fn each_call_has_an_outcome_within_its_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(outcome(closed), HttpOutcome::NotSent);
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    for answer in ["", "HTTP/1.1 200", head, "no HTTP at all\r\n\r\n"] {
        for holds in [false, true] {
            assert_eq!(
                outcome(serve(answer, holds)),
                HttpOutcome::Lost,
                "{answer:?}, {holds}"
            );
        }
    }
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for holds in [false, true] {
        let is_answered = matches!(outcome(serve(whole, holds)), HttpOutcome::Response { .. });
        assert!(is_answered, "{holds}");
    }
}
