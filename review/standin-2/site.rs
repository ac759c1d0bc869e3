//! A small deployment: a store, the project's gateway with the settings of the deploy file's template,
//! and clients.

use std::fmt::Write as _;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{exchange, request};
use crate::store::Store;

/// The bounds of the sheet of Náladník's deployment.
pub const DRAIN_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;
/// That of the deployments with tenants.
pub const REVOKE_MS: u64 = 5_000;

const GATEWAY: &str = "target/release/bulrush-gateway";
const TEMPLATE: &str = "deploy/settings.ini";

/// What a case saw, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    text: Arc<Mutex<String>>,
    began: Instant,
}

impl Record {
    pub fn new() -> Record {
        Record { text: Arc::default(), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.began).as_millis();
        println!("{ms:>6} ms  {text}");
        writeln!(self.text.lock().unwrap(), "{ms:>6} ms  {text}").ok();
    }


    pub fn save(&self, dir: &str) {
        std::fs::write(format!("{dir}/record.txt"), &*self.text.lock().unwrap()).ok();
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// A free port of the address.
pub fn free_port(ip: Ipv4Addr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// A loopback address of this run's own.
pub fn own_ip(nth: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + nth, (pid >> 8) as u8, (pid as u8).clamp(1, 254))
}

/// The gateway's process, which is killed on drop.
pub struct Gateway {
    child: Child,
    dir: PathBuf,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Gateway {
    /// Starts the gateway as the deploy file says, with its template filled in.
    pub fn start(ip: Ipv4Addr, store: SocketAddr) -> std::io::Result<Gateway> {
        let held = [(); 3].map(|()| TcpListener::bind((ip, 0)));
        let [callers, ready, peers] = held.map(|it| it.and_then(|it| it.local_addr()));
        let (callers, ready, peers) = (callers?, ready?, peers?);
        let dir = std::env::temp_dir().join(format!("bulrush-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let file = dir.join("settings.ini");
        let text = std::fs::read_to_string(TEMPLATE)?;
        std::fs::write(&file, fill(&text, ip, callers, ready, peers.port(), store))?;
        let log = File::create(dir.join("log"))?;
        let child = Command::new(GATEWAY)
            .env("BULRUSHUSHER_NODE_FILE", &file)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Gateway { child, dir, callers, ready })
    }

    /// Waits until the gateway says that it is ready; false if it does not.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let req = request("GET", "/ready", &[("Host", "ready")], b"");
            let answer = TcpStream::connect(self.ready)
                .ok()
                .and_then(|mut stream| exchange(&mut stream, &req, Duration::from_secs(1)));
            if answer.is_some_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lines of the gateway's log that contain the text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// The end of the gateway's log, for a case that could not run.
    pub fn log_end(&self) -> String {
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(8)..].join(" | ")
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// Fills in the template as the deploy page says, with the bounds of the sheet.
fn fill(
    template: &str,
    ip: Ipv4Addr,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: u16,
    store: SocketAddr,
) -> String {
    let zones = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}";
    let mut text = template.replace(zones, "ba-petrzalka:sk-west");
    let values = [
        ("node_name", "front-ba-petrzalka-1".to_owned()),
        ("zone", "ba-petrzalka".to_owned()),
        ("region", "sk-west".to_owned()),
        ("listen.front", callers.to_string()),
        ("listen.ready_addr", ready.to_string()),
        ("ip", ip.to_string()),
        ("port_range.0", peers.to_string()),
        ("platform.address", store.to_string()),
        ("bounds.config_apply_ms", "2000".to_owned()),
        ("bounds.drain_ms", DRAIN_MS.to_string()),
        ("bounds.grace_s", "8".to_owned()),
        ("bounds.budget_ratio", "0.2".to_owned()),
        ("bounds.budget_slack", "56".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.lease_ms", "3000".to_owned()),
        ("bounds.revoke_ms", REVOKE_MS.to_string()),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    while let Some((before, rest)) = text.split_once("{{") {
        let after = rest.split_once("}}").map_or("", |it| it.1);
        text = format!("{before}{after}");
    }
    text
}

/// The config without tenants: a route of calls that may run once, and one of calls that may be repeated.
pub fn write_config(store: &Store) {
    write_config_version(store, 1, 16_384, "");
}

/// Writes a version of the config with its `max_header_bytes`; `tenants` is the field of that name or
/// nothing. Returns when it was acknowledged.
pub fn write_config_version(
    store: &Store,
    version: u64,
    header_bytes: usize,
    tenants: &str,
) -> Instant {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"boards.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":1500,\"slo_ms\":300,\"priority\":2,\
             \"service\":\"board-app\",\"max_attempts\":{attempts},\"anonymous\":false,\
             \"sticky\":false,\"resumable\":false,\"gap_target_ms\":0}}"
        )
    };
    let routes = [route("card", "non_idempotent", 1), route("thumb", "idempotent", 2)].join(",");
    let spec = format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"board-app\",\
         \"health_path\":\"/health\",\"max_conns\":110}}],\"limits\":{{\"max_header_bytes\":{header_bytes},\
         \"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}}{tenants}}}"
    );
    store.put("config", "main", &spec)
}

/// A client's attempt, and the answer that it got.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    /// 0 if the connection ended without a whole answer.
    pub status: u16,
}

/// A client that sends calls that may run once, one after another on a kept connection.
pub fn run_client(
    name: String,
    key: Option<String>,
    callers: SocketAddr,
    pause: Duration,
    until: Instant,
    attempts: Arc<Mutex<Vec<Attempt>>>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut kept: Option<TcpStream> = None;
        let mut nth = 0;
        while Instant::now() < until {
            nth += 1;
            let id = format!("{name}-{nth}");
            let bearer = key.as_ref().map(|key| format!("Bearer {key}"));
            let mut headers = vec![
                ("Host", "boards.example"),
                ("Bulrushusher-Request-Id", id.as_str()),
                ("Bulrushusher-Deadline-Ms", "3000"),
            ];
            headers.extend(bearer.as_deref().map(|bearer| ("Authorization", bearer)));
            let req = request("POST", "/card/x", &headers, b"the client's body");
            let sent = Instant::now();
            let mut stream = kept.take().or_else(|| TcpStream::connect(callers).ok());
            let timeout = Duration::from_millis(3_000);
            let answer = stream.as_mut().and_then(|it| exchange(it, &req, timeout));
            let status = answer.as_ref().map_or(0, |it| it.status());
            let closes = answer.is_none_or(|it| it.header("connection").contains("close"));
            kept = stream.filter(|_| !closes);
            attempts.lock().unwrap().push(Attempt { id, sent, ended: Instant::now(), status });
            thread::sleep(pause);
        }
    })
}
