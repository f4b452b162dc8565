//! A blocking HTTP/1.1 server and client on loopback, and network paths that can be cut.

use crate::json::Json;
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// The path between one daemon and one other end; nothing passes while it is cut.
#[derive(Clone, Debug)]
pub struct Path {
    is_cut: Arc<AtomicBool>,
    /// How long a message takes, one way.
    delay: Duration,
}

impl Path {
    pub fn new(delay: Duration) -> Self {
        Self {
            is_cut: Arc::default(),
            delay,
        }
    }

    pub fn cut(&self, cut: bool) {
        self.is_cut.store(cut, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    fn wait_until_healed(&self) {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// The open connections of a server.
#[derive(Clone, Debug)]
pub struct Channels {
    open: Arc<()>,
    most: usize,
}

impl Channels {
    pub fn new(most: usize) -> Self {
        Self {
            open: Arc::new(()),
            most,
        }
    }

    fn open(&self) -> Arc<()> {
        self.open.clone()
    }

    /// Waits until another connection may be opened.
    fn wait(&self) {
        // Each listener holds one clone, and this one another.
        while Arc::strong_count(&self.open) > self.most + LISTENERS {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// How many listeners a server has at most: one for each daemon.
const LISTENERS: usize = 4;

/// A request that a server has received.
#[derive(Debug)]
pub struct Call {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub instance: String,
    pub body: Json,
}

/// What a server does with a call: answers it, or keeps silent on this connection for good.
pub type Answer = Option<(u16, Json)>;

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a message's first line, its headers in lower case and its body.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_string(), headers, body))
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (percent_decoded(name), percent_decoded(value)));
    let body = String::from_utf8_lossy(&body);
    Some(Call {
        path: path.to_string(),
        query: query.collect(),
        instance: headers
            .get("expected-instance")
            .cloned()
            .unwrap_or_default(),
        body: Json::parse(&body).unwrap_or(Json::Null),
    })
}

/// Serves calls that arrive over `path` on a free loopback port, with a limit on the
/// connections that all its listeners share; returns the address.
pub fn serve<F>(path: Path, channels: Channels, answer: F) -> SocketAddr
where
    F: Fn(Call) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || loop {
        channels.wait();
        let Ok((stream, _)) = listener.accept() else {
            continue;
        };
        let (path, answer, open) = (path.clone(), answer.clone(), channels.open());
        thread::spawn(move || {
            serve_connection(stream, &path, &*answer);
            drop(open);
        });
    });
    address
}

fn serve_connection(stream: TcpStream, path: &Path, answer: &dyn Fn(Call) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader) {
        thread::sleep(path.delay);
        if path.is_cut() {
            // The call was lost on its way; the connection ends once the path is back.
            return path.wait_until_healed();
        }
        let Some((status, body)) = answer(call) else {
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        };
        if path.is_cut() {
            return path.wait_until_healed();
        }
        thread::sleep(path.delay);
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Makes a client's call; `None` without a complete answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    key: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, Json)> {
    let stream = TcpStream::connect_timeout(&to, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let length = body.len();
    let deadline = wait.as_millis();
    let authorization = match key {
        "" => String::new(),
        key => format!("Authorization: Bearer {key}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{authorization}Deadline-Ms: {deadline}\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = String::from_utf8_lossy(&body);
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}

/// Forwards connections to `to` over `path`; returns the address to connect to.
pub fn forward(path: Path, to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let path = path.clone();
            thread::spawn(move || {
                if path.is_cut() {
                    return path.wait_until_healed();
                }
                let Ok(server) = TcpStream::connect(to) else {
                    return;
                };
                let _ = (stream.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(back)) = (stream.try_clone(), server.try_clone()) else {
                    return;
                };
                let other = path.clone();
                thread::spawn(move || copy(&other, from, server));
                copy(&path, back, stream);
            });
        }
    });
    address
}

/// Copies one direction of a connection; ends it if the path is cut meanwhile.
fn copy(path: &Path, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16_384];
    while let Ok(size) = from.read(&mut buffer) {
        if path.is_cut() {
            path.wait_until_healed();
            break;
        }
        thread::sleep(path.delay);
        if size == 0 || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    let _ = (
        from.shutdown(std::net::Shutdown::Both),
        to.shutdown(std::net::Shutdown::Both),
    );
}
