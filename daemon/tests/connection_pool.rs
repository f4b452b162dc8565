//! Tests the calls to other processes against servers that send oversized answers.

#![allow(clippy::unwrap_used)]

use pomelotide_core::WorkerId;
use pomelotide_daemon::ConnectionPool;
use pomelotide_platform::{encode_advice_request, parse_task_name, HttpOutcome};
use std::{
    io::{Read, Write},
    net::TcpListener,
    rc::Rc,
    thread,
    time::Duration,
};
use tokio::{runtime, task::LocalSet};

/// The size of the answer, in MiB; above the limit that callers set.
const ANSWER_MIB: usize = 256;
/// The maximum part of it that the server may send, with what the socket buffers hold, in MiB.
const MAX_TAKEN_MIB: usize = 64;

/// Guards against an oversized answer that uses up the memory of the caller.
#[test]
fn an_oversized_answer_is_not_read_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let length = ANSWER_MIB << 20;
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
        )
        .unwrap();
        let mib = vec![b' '; 1 << 20];
        (0..ANSWER_MIB)
            .take_while(|_| stream.write_all(&mib).is_ok())
            .count()
    });
    let step = parse_task_name("a.0.0.1").unwrap().step;
    let call = encode_advice_request(&step, &[WorkerId::new("w")]).unwrap();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let pool: Rc<ConnectionPool> = Rc::default();
    let answer = pool.call(address, &call, Duration::from_secs(20));
    let answer = LocalSet::new().block_on(&runtime, answer);
    drop(runtime);
    let taken = server.join().unwrap();
    assert!(taken < MAX_TAKEN_MIB, "{taken} MiB were taken");
    assert_eq!(answer, HttpOutcome::Lost);
}
