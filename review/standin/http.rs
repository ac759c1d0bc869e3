//! A small blocking HTTP/1.1 server and client on `std` alone.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.as_str())
}

/// A server's connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    /// A number that tells connections apart in the record.
    pub number: usize,
    buf: Vec<u8>,
}

impl Connection {
    /// Sends bytes; false if the peer is gone.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits without sending anything until the peer closes the connection.
    pub fn stay_silent(&mut self) {
        let mut chunk = [0; 1024];
        while matches!(self.stream.read(&mut chunk), Ok(n) if n > 0) {}
    }

    /// True if the peer closes the connection within `time`.
    pub fn is_closed_within(&mut self, time: Duration) -> bool {
        let mut chunk = [0; 1024];
        self.stream.set_read_timeout(Some(time.max(Duration::from_millis(1)))).ok();
        let end = Instant::now() + time;
        let read = self.stream.read(&mut chunk);
        self.stream.set_read_timeout(None).ok();
        match read {
            Ok(0) => true,
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                thread::sleep(end.saturating_duration_since(Instant::now()));
                false
            }
            Err(e) => {
                !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
            }
        }
    }

    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                true
            }
        }
    }

    fn read_request(&mut self) -> Option<Request> {
        let end = loop {
            match self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(at) => break at + 4,
                None if self.read_more() => {}
                None => return None,
            }
        };
        let (first, headers) = parse_head(&self.buf[..end])?;
        let mut words = first.split(' ');
        let mut req = Request {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            headers,
            body: Vec::new(),
        };
        let length: usize = req.header("content-length").parse().unwrap_or(0);
        while self.buf.len() < end + length {
            if !self.read_more() {
                return None;
            }
        }
        req.body = self.buf[end..end + length].to_vec();
        self.buf.drain(..end + length);
        Some(req)
    }
}

/// The first line and the headers of a message.
fn parse_head(head: &[u8]) -> Option<(String, Vec<(String, String)>)> {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned())).collect();
    Some((first, headers))
}

/// Serves requests on the listener, each connection in a thread. The handler returns false to close the
/// connection.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request, &mut Connection) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { continue };
            stream.set_nodelay(true).ok();
            let handler = handler.clone();
            thread::spawn(move || {
                let mut connection = Connection { stream, number, buf: Vec::new() };
                while let Some(req) = connection.read_request() {
                    if !handler(req, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// One chunk of a chunked body; an empty one ends it.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// How a response that a client received ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With the mark of its end: all bytes of its length, or the last chunk.
    Complete,
    /// The connection ended or broke before that.
    BrokenOff,
    /// There was no response head.
    NoResponse,
}

/// A response as a client received it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Response {
    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// The ids of the whole events of the body, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// Sends a request on a new connection and reads the response until its end or `timeout`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Response {
    let none = Response { status: 0, headers: Vec::new(), body: Vec::new(), end: End::NoResponse };
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return none;
    };
    stream.set_nodelay(true).ok();
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    if stream.write_all(&[head.as_bytes(), body].concat()).is_err() {
        return none;
    }
    read_response(&mut stream, timeout).unwrap_or(none)
}

fn read_response(stream: &mut TcpStream, timeout: Duration) -> Option<Response> {
    let until = Instant::now() + timeout;
    let mut buf = Vec::new();
    let mut more = |buf: &mut Vec<u8>| {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        stream.set_read_timeout(Some(left)).ok();
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                buf.extend_from_slice(&chunk[..n]);
                true
            }
        }
    };
    let end = loop {
        match buf.windows(4).position(|w| w == b"\r\n\r\n") {
            Some(at) => break at + 4,
            None if more(&mut buf) => {}
            None => return None,
        }
    };
    let (first, headers) = parse_head(&buf[..end])?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    buf.drain(..end);
    let mut res = Response { status, headers, body: Vec::new(), end: End::BrokenOff };
    if let Ok(length) = res.header("content-length").parse::<usize>() {
        while buf.len() < length && more(&mut buf) {}
        res.end = if buf.len() >= length { End::Complete } else { End::BrokenOff };
        buf.truncate(length);
        res.body = buf;
        return Some(res);
    }
    if !res.header("transfer-encoding").contains("chunked") {
        while more(&mut buf) {}
        res.body = buf;
        return Some(res);
    }
    loop {
        let line = loop {
            match buf.windows(2).position(|w| w == b"\r\n") {
                Some(at) => break Some(at),
                None if more(&mut buf) => {}
                None => break None,
            }
        };
        let Some(line) = line else { return Some(res) };
        let size = String::from_utf8_lossy(&buf[..line]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Some(res) };
        while buf.len() < line + 2 + size + 2 {
            if !more(&mut buf) {
                return Some(res);
            }
        }
        if size == 0 {
            res.end = End::Complete;
            return Some(res);
        }
        res.body.extend_from_slice(&buf[line + 2..line + 2 + size]);
        buf.drain(..line + 2 + size + 2);
    }
}
