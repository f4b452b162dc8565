//! A small HTTP/1.1 server and client for loopback.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// A request that a stand-in received.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(own, _)| own == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// What a stand-in does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Closes the channel without an answer.
    Drop,
}

pub type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// A server that can be crashed: its listener and all its channels are closed then.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                at += 2;
            }
            c => out.push(c),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_string(), headers, body))
}

fn serve(stream: TcpStream, handler: Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_head(&mut reader) {
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            path: path.into(),
            query: pairs
                .map(|(name, value)| (decode(name), decode(value)))
                .collect(),
            headers,
            body,
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Drop => {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

impl Server {
    /// Starts a server at a free port of the address.
    pub fn start(ip: &str, handler: Arc<Handler>) -> Server {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let open = Arc::new(Mutex::new(Some(Vec::new())));
        let accepted = open.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let mut open = accepted.lock().unwrap();
                // After a crash the listener is dropped, so that the port refuses channels.
                let Some(open) = open.as_mut() else { return };
                if let Ok(copy) = stream.try_clone() {
                    open.push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, handler));
            }
        });
        Server { address, open }
    }

    /// Closes the listener and all channels, as the end of the process does.
    pub fn crash(&self) {
        let streams = self.open.lock().unwrap().take();
        for stream in streams.into_iter().flatten() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

/// Makes a call and returns the status and the body; `None` without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
