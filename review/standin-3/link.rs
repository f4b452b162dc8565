//! A daemon's link to the store: a proxy that delays what comes from the store to the rate of the link.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// The bytes of one step; the channels of a link take turns.
const STEP: usize = 4 * 1_024;

/// Starts a proxy to `target` whose channels share a link of this rate. Returns its address.
pub fn start(target: SocketAddr, megabits_per_s: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(daemon) = stream else { continue };
            let free_at = free_at.clone();
            thread::spawn(move || {
                let Ok(store) = TcpStream::connect(target) else {
                    return;
                };
                let _ = (daemon.set_nodelay(true), store.set_nodelay(true));
                let (Ok(from), Ok(to)) = (daemon.try_clone(), store.try_clone()) else {
                    return;
                };
                thread::spawn(move || copy(from, to, |_| {}));
                copy(store, daemon, |bytes| {
                    let span = Duration::from_micros(bytes as u64 * 8 / megabits_per_s);
                    let until = {
                        let mut free_at = free_at.lock().unwrap();
                        *free_at = (*free_at).max(Instant::now()) + span;
                        *free_at
                    };
                    sleep(until.saturating_duration_since(Instant::now()));
                });
            });
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, carry: impl Fn(usize)) {
    let mut buffer = [0; STEP];
    while let Ok(bytes) = from.read(&mut buffer) {
        if bytes == 0 {
            break;
        }
        carry(bytes);
        if to.write_all(&buffer[..bytes]).is_err() {
            break;
        }
    }
    let _ = (
        from.shutdown(std::net::Shutdown::Both),
        to.shutdown(std::net::Shutdown::Both),
    );
}
