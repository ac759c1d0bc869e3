//! Starts gateways as the deploy file does, with settings from its template, and the rest of a small
//! deployment around them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Response, call};
use crate::record::Record;
use crate::store::Store;

/// The routes' host.
pub const HOST: &str = "ficu95.example";

/// A running gateway; its process is killed on drop.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
    dir: PathBuf,
}

impl Gateway {
    /// Starts a gateway from the repository's root, which is the working directory.
    pub fn start(store: SocketAddr) -> Gateway {
        let ip = free_address();
        let dir = std::env::temp_dir().join(format!("bulrush-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let template = std::fs::read_to_string("deploy/settings.ini").expect("the template");
        let settings = dir.join("node.ini");
        std::fs::write(&settings, fill_in(&template, ip, store)).expect("the settings");
        let log = std::fs::File::create(dir.join("log")).expect("the log file");
        let errors = log.try_clone().expect("the log file");
        let mut command = Command::new("target/release/bulrush-gateway");
        command.env("BULRUSHUSHER_NODE_FILE", &settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        let child = end_with_parent(&mut command).spawn().expect("the gateway starts");
        let at = |port| SocketAddr::from((ip, port));
        Gateway { child, callers: at(8144), ready: at(8140), dir }
    }

    /// Copies to the record what the gateway logs of a request.
    pub fn record_log_of(&self, id: &str, record: &Record) {
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let own = format!("id={id} ");
        for line in log.lines().filter(|line| line.contains(&own)) {
            record.line(&format!("gateway's log: {line}"));
        }
    }

    /// Waits until the gateway says that it is ready, as the platform does before it sends it clients.
    pub fn wait_until_ready(&self) -> bool {
        wait_until(Duration::from_secs(20), || {
            let host = [("Host", "ready".to_owned())];
            call(self.ready, "GET", "/ready", &host, b"", Duration::from_secs(1)).status == 200
        })
    }

    /// Sends a client's request on a new connection.
    pub fn send(&self, req: &ClientRequest<'_>, record: &Record) -> Response {
        record.line(&format!("client: {} sends {}", req.id, req.path));
        let mut headers = vec![
            ("Host", HOST.to_owned()),
            ("Bulrushusher-Request-Id", req.id.to_owned()),
            ("Bulrushusher-Deadline-Ms", req.deadline_ms.to_string()),
        ];
        if let Some(tokens) = req.tokens {
            headers.push(("Bulrushusher-Model", "m".to_owned()));
            headers.push(("Bulrushusher-Token-Counts", format!("1000,{tokens}")));
            headers.push(("Bulrushusher-Length-Hint", (tokens / 4).to_string()));
            headers.push((
                "Bulrushusher-Prompt-Prefix",
                format!("5c1e07a2:200,{:x}:800", digest(req.id)),
            ));
        }
        let timeout = Duration::from_millis(req.deadline_ms + 1_000);
        let res = call(self.callers, "POST", req.path, &headers, b"a client's brief", timeout);
        record.line(&format!(
            "client: {} gets status={} end={:?} bytes={} seal={}{}",
            req.id,
            res.status,
            res.end,
            res.body.len(),
            res.header("bulrushusher-server-seal"),
            match (req.tokens, res.event_ids()) {
                (Some(_), ids) if !ids.is_empty() =>
                    format!(" events {} to {}", ids[0], ids[ids.len() - 1]),
                _ => String::new(),
            },
        ));
        res
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// A client's request; `tokens` is the largest output of a generation.
pub struct ClientRequest<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub tokens: Option<u64>,
}

/// Fills in the template with the fields of a machine of a small deployment: the bounds are those of
/// `sites/naladnik-usher.toml`, and fields that it lacks are empty.
fn fill_in(template: &str, ip: Ipv4Addr, store: SocketAddr) -> String {
    let zones = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}";
    let mut text = template.replace(zones, "ba-petrzalka:sk-west,ba-ruzinov:sk-west");
    let fields = [
        ("node_name", "front-ba-petrzalka-1".to_owned()),
        ("zone", "ba-petrzalka".to_owned()),
        ("region", "sk-west".to_owned()),
        ("listen.front", format!("{ip}:8144")),
        ("listen.ready_addr", format!("{ip}:8140")),
        ("ip", ip.to_string()),
        ("port_range.0", "7660".to_owned()),
        ("platform.address", store.to_string()),
        ("bounds.config_apply_ms", "2000".to_owned()),
        ("bounds.drain_ms", "2000".to_owned()),
        ("bounds.grace_s", "8".to_owned()),
        ("bounds.budget_ratio", "0.2".to_owned()),
        ("bounds.budget_slack", "56".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.lease_ms", "3000".to_owned()),
    ];
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    while let (Some(from), Some(to)) = (text.find("{{"), text.find("}}")) {
        text.replace_range(from..to + 2, "");
    }
    text
}

/// A loopback address at which all ports of a gateway are free.
fn free_address() -> Ipv4Addr {
    let seed = std::process::id();
    let candidates = (0..10_000u32).map(|n| {
        let n = seed.wrapping_mul(7).wrapping_add(n);
        Ipv4Addr::new(127, 64 + (n >> 15) as u8 % 64, (n >> 7) as u8, (n % 128) as u8 + 2)
    });
    let is_free = |ip: &Ipv4Addr| {
        [8144, 8140, 9464].iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
            && UdpSocket::bind((*ip, 7660)).is_ok()
    };
    candidates.into_iter().find(is_free).expect("a loopback address is free")
}

fn digest(id: &str) -> u32 {
    id.bytes().fold(2_166_136_261, |sum, byte| (sum ^ u32::from(byte)).wrapping_mul(16_777_619))
}

/// A route of the first config.
fn route(
    name: &str,
    kind: &str,
    service: &str,
    timeout_ms: u32,
    slo_ms: u32,
    attempts: u32,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"service\":\"{service}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":{slo_ms},\"priority\":1,\
         \"max_attempts\":{attempts},\"resumable\":false,\"gap_target_ms\":300,\"sticky\":{}}}",
        kind == "stream"
    )
}

/// A config with the routes of the sheet that the cases use. `memory` is a runner's, in tokens.
pub fn config(memory: u64, stride: u64) -> String {
    let routes = [
        route("brief-rationale", "stream", "rationale-llm", 14_000, 900, 1),
        route("swatch-card", "non_idempotent", "board-app", 1_500, 300, 1),
        route("board-thumb", "idempotent", "board-app", 1_500, 300, 2),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[\
         {{\"name\":\"board-app\",\"health_path\":\"/health\",\"slots\":6,\"max_conns\":110}},\
         {{\"name\":\"rationale-llm\",\"health_path\":\"/health\",\"slots\":64,\"max_conns\":370,\
           \"engine\":{{\"slots\":64,\"kv_capacity\":{memory},\"kv_token_bytes\":163840,\
           \"stride\":{stride},\"kv_hold_s\":0.5,\"switch_s\":6.0,\"hold_ms\":2000,\"pin_ms\":4000,\
           \"moves\":true}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
           \"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}}}",
        routes.join(",")
    )
}

/// Waits for a condition; false if it doesn't hold within the time.
pub fn wait_until(time: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + time;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// The store of a deployment, with its first config.
pub fn start_store(memory: u64, stride: u64) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let store = Store::start(listener);
    store.put("config", "main", config(memory, stride));
    store
}

/// The record of a case, in the folder that `REVIEW_DIR` names.
pub fn open_record() -> Arc<Record> {
    let dir = PathBuf::from(std::env::var_os("REVIEW_DIR").unwrap_or_else(|| ".".into()));
    let record = Record::create(&dir.join("record.txt")).expect("the record");
    record.line(&format!("TROUBLE={}", u8::from(has_trouble())));
    Arc::new(record)
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Has the kernel kill the process when the one that starts it ends, however that ends.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: `prctl` may be called between fork and exec; it allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// True unless `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
