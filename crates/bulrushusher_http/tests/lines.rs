//! Streams of lines from a peer that sends more than it may.

use std::time::Duration;

use bulrushusher_http::{HttpClient, HttpError, RequestParts};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Bytes behind the line; more than a body may have.
const SENT: usize = 20 << 20;

/// Guards against a peer that has the reader keep as many bytes as it states.
#[tokio::test]
async fn a_body_that_is_too_large_is_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let peer = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4096];
        assert!(stream.read(&mut buf).await.expect("a request") > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nline\n").await.expect("a head");
        let part = vec![0; 1 << 20];
        for _ in 0..SENT / part.len() {
            if stream.write_all(&part).await.is_err() {
                return;
            }
        }
    });
    let parts = RequestParts { method: "GET", path: "/", headers: &[], body: Bytes::new() };
    let mut lines = HttpClient::new().call_stream(peer, parts).await.expect("a stream");
    assert_eq!(lines.next_line().await.expect("a line"), Some(Bytes::from_static(b"line")));
    let reading = tokio::time::timeout(Duration::from_secs(10), lines.read_bytes(SENT)).await;
    let read = reading.expect("it does not hang").map(|bytes| bytes.len());
    assert!(matches!(read, Err(HttpError::Codec { .. })), "{read:?}");
}
