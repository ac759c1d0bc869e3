//! HTTP/1.1 for the stand-ins: a server with one thread for each connection, and a client.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the connection ends before it is complete or the time is up.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buf, until)?;
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let split = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    let headers = lines.filter_map(split).collect();
    let mut message = Message { start, headers, body: Vec::new() };
    buf.drain(..head_end);
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        message.body = read_chunks(stream, buf, until)?;
    } else {
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        while buf.len() < length {
            read_more(stream, buf, until)?;
        }
        message.body = buf.drain(..length).collect();
    }
    Some(message)
}

fn read_chunks(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            match buf.windows(2).position(|it| it == b"\r\n") {
                Some(at) => break at,
                None => read_more(stream, buf, until)?,
            }
        };
        let size = usize::from_str_radix(std::str::from_utf8(&buf[..line_end]).ok()?, 16).ok()?;
        while buf.len() < line_end + 4 + size {
            read_more(stream, buf, until)?;
        }
        body.extend_from_slice(&buf[line_end + 2..line_end + 2 + size]);
        buf.drain(..line_end + 4 + size);
        if size == 0 {
            return Some(body);
        }
    }
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Option<()> {
    let mut chunk = [0; 16_384];
    loop {
        let left = until.checked_duration_since(Instant::now())?;
        let left = left.max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(count) => {
                buf.extend_from_slice(&chunk[..count]);
                return Some(());
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// A request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// One process lifetime of a server: its listener and its connections.
pub struct Server {
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves `handler` on `address` until [`Server::end`].
    pub fn start<H>(address: SocketAddr, handler: H) -> std::io::Result<Server>
    where
        H: Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let ended = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (stop, connections) = (ended.clone(), open.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).ok();
                stream.set_nodelay(true).ok();
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve_connection(stream, &*handler));
            }
        });
        Ok(Server { ended, open })
    }

    /// Ends the process: the listener and all connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Message, &mut TcpStream) -> bool) {
    let mut buf = Vec::new();
    let idle = Duration::from_secs(60);
    while let Some(message) = read_message(&mut stream, &mut buf, Instant::now() + idle) {
        if !handler(message, &mut stream) {
            break;
        }
    }
    stream.shutdown(Shutdown::Both).ok();
}

/// Writes bytes; false if the connection is closed.
pub fn send(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// Sends a request on an open connection and reads the response.
pub fn exchange(stream: &mut TcpStream, req: &[u8], timeout: Duration) -> Option<Message> {
    stream.write_all(req).ok()?;
    read_message(stream, &mut Vec::new(), Instant::now() + timeout)
}
