//! A small HTTP/1.1 server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns a parameter of the query, decoded.
    pub fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.filter(|(own, _)| *own == name).map(|(_, value)| unescape(value)).next();
        found.unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut plain, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'+' => plain.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]);
                let code = digits.ok().and_then(|digits| u8::from_str_radix(digits, 16).ok());
                plain.push(code.unwrap_or(b'?'));
                at += 2;
            }
            c => plain.push(c),
        }
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// What a handler does with a request: answers it, or never does.
pub type Answer = Option<(u16, String)>;

/// A server that can be stopped, which resets its connections, and started again.
pub struct Server {
    pub address: SocketAddr,
    running: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on `address` and answers requests with `handler`.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = bind(address)?;
        let address = listener.local_addr()?;
        let running = Arc::new(AtomicBool::new(true));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (alive, open) = (running.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !alive.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, alive) = (handler.clone(), alive.clone());
                thread::spawn(move || serve(stream, &*handler, &alive));
            }
        });
        Ok(Self { address, running, connections })
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut last = None;
    for _ in 0..100 {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = Some(error),
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(last.unwrap_or_else(|| io::Error::other("not bound")))
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Answer, alive: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut stream) = (BufReader::new(copy), stream);
    while alive.load(Ordering::SeqCst) {
        let Ok(Some(request)) = read_request(&mut reader) else { return };
        let answer = handler(request);
        if !alive.load(Ordering::SeqCst) {
            return;
        }
        let Some((status, body)) = answer else {
            // The connection stays open without an answer until the peer closes it.
            let _ = io::copy(&mut reader, &mut io::sink());
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end().to_string())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else { return Ok(headers) };
        headers.push((name.trim().to_string(), value.trim().to_string()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(_), Some(target)) = (words.next(), words.next()) else { return Ok(None) };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        path: path.to_string(),
        query: query.to_string(),
        headers,
        body,
    }))
}

/// Makes a call on a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let headers = read_headers(&mut reader)?;
    Ok((status, read_body(&mut reader, &headers)?))
}
