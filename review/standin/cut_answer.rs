//! A runner is killed in the middle of an answer that has no length and ends with its connection.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, End, Request, Response, response, serve};
use crate::platform::{
    ClientRequest, Gateway, end_with_parent, has_trouble, open_record, start_store, wait_until,
};
use crate::record::Record;
use crate::{BROKEN, CANNOT_RUN, HELD};

const MEMORY: u64 = 97_920;
const STRIDE: u64 = 10;

/// Bytes of each body.
const BODY_BYTES: usize = 800;

/// The call whose answer has no length.
const UNFRAMED: &str = "s100";

/// Time between the two halves of that answer.
const HALF_TIME: Duration = Duration::from_millis(400);

/// The runner: a process of its own that serves plain calls until it is killed. It prints its address and
/// then what it runs.
pub fn serve_calls(id: &str) -> i32 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    println!("{}", listener.local_addr().expect("it is bound"));
    let id = id.to_owned();
    serve(listener, move |req, connection| answer(&id, &req, connection));
    loop {
        thread::park();
    }
}

fn answer(runner: &str, req: &Request, connection: &mut Connection) -> bool {
    let expected = req.header("bulrushusher-expect-instance");
    if !expected.is_empty() && expected != runner {
        return connection.send(&response(421, &[("Bulrushusher-Not-Run", "1")], b""));
    }
    match req.path.as_str() {
        "/report" => {
            let body = "{\"stage\":null,\"models\":[],\"busy\":false,\"seq\":0,\"num_waiting\":0,\
                        \"num_running\":0,\"kv_used\":0,\"kv_total\":0,\"kv_handles\":0}";
            return connection.send(&response(200, &[], body.as_bytes()));
        }
        "/health" => {
            return connection.send(&response(200, &[("Bulrushusher-Instance-Id", runner)], b""));
        }
        _ => {}
    }
    let id = req.header("bulrushusher-request-id").to_owned();
    println!("runs {id}");
    let body = body_of(&id);
    let seal = format!("{runner}.{id}");
    let headers = [("Bulrushusher-Request-Id", id.as_str()), ("Bulrushusher-Server-Seal", &seal)];
    if id != UNFRAMED {
        thread::sleep(Duration::from_millis(20));
        return connection.send(&response(200, &headers, &body));
    }
    let head: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let head = format!("HTTP/1.1 200 OK\r\n{head}Content-Type: text/plain\r\n\r\n");
    connection.send(&[head.as_bytes(), &body[..BODY_BYTES / 2]].concat());
    println!("has sent half of the answer to {id}");
    thread::sleep(HALF_TIME);
    connection.send(&body[BODY_BYTES / 2..]);
    println!("has sent the whole answer to {id}");
    false
}

/// The whole body of the answer to a call.
fn body_of(id: &str) -> Vec<u8> {
    let start = format!("card for {id} ");
    let fill = (0..).map(|n| b'a' + (n % 26) as u8);
    start.into_bytes().into_iter().chain(fill).take(BODY_BYTES).collect()
}

/// A runner's process, which is killed on drop.
struct RunnerProcess {
    id: String,
    child: Child,
    address: SocketAddr,
}

impl RunnerProcess {
    /// Starts the process; what it prints is recorded. `half` receives its id when it has sent half of the
    /// answer without a length.
    fn start(id: &str, record: &Arc<Record>, half: &Arc<Mutex<Option<String>>>) -> Self {
        let program = std::env::current_exe().expect("its own path");
        let mut command = Command::new(program);
        command.args(["app-runner", id]).stdout(Stdio::piped());
        let mut child = end_with_parent(&mut command).spawn().expect("the runner starts");
        let mut lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let address = lines.next().and_then(Result::ok).and_then(|it| it.parse().ok());
        let (name, record, half) = (id.to_owned(), record.clone(), half.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&format!("runner {name}: {line}"));
                if line.starts_with("has sent half") {
                    *half.lock().unwrap() = Some(name.clone());
                }
            }
        });
        RunnerProcess { id: id.to_owned(), child, address: address.expect("its address") }
    }

    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"board-app\",\"address\":\"{}\",\"zone\":\"ba-petrzalka\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address
        )
    }

    fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn run() -> i32 {
    let record = open_record();
    let store = start_store(MEMORY, STRIDE);
    let half = Arc::default();
    let mut runners: Vec<RunnerProcess> =
        (0..4).map(|n| RunnerProcess::start(&format!("i-a{n}"), &record, &half)).collect();
    for runner in &runners {
        store.put("servers", &runner.id, runner.entry());
    }
    let gateway = Arc::new(Gateway::start(store.address));
    if !gateway.wait_until_ready() {
        record.line("the gateway is not ready");
        return CANNOT_RUN;
    }
    let send = |id: &str| {
        let (gateway, record, id) = (gateway.clone(), record.clone(), id.to_owned());
        thread::spawn(move || {
            let req =
                ClientRequest { path: "/swatch-card/2f", id: &id, deadline_ms: 3_000, tokens: None };
            (id.clone(), gateway.send(&req, &record))
        })
    };
    let mut replies: Vec<(String, Response)> = Vec::new();
    for n in 0..40 {
        replies.push(send(&format!("s{n}")).join().expect("the client"));
    }
    let cut = send(UNFRAMED);
    if !wait_until(Duration::from_secs(3), || half.lock().unwrap().is_some()) {
        record.line("no runner has begun the answer");
        return CANNOT_RUN;
    }
    // The gateway has read the first half by the time of the kill.
    thread::sleep(Duration::from_millis(100));
    if has_trouble() {
        let name = half.lock().unwrap().clone().unwrap_or_default();
        let runner = runners.iter_mut().find(|it| it.id == name).expect("a runner of this case");
        record.line(&format!("runner {name} crashes: SIGKILL of its process"));
        runner.kill();
    }
    replies.push(cut.join().expect("the client"));
    gateway.record_log_of(UNFRAMED, &record);
    let mut is_broken = false;
    for (id, res) in &replies {
        let is_success = (200..300).contains(&res.status) && res.end == End::Complete;
        if is_success && res.body != body_of(id) {
            is_broken = true;
            record.line(&format!(
                "MIXED is broken: {id} gets status {} with {} of the body's {BODY_BYTES} bytes, and the \
                 answer looks complete (Content-Length: {})",
                res.status,
                res.body.len(),
                res.header("content-length"),
            ));
        }
    }
    if is_broken { BROKEN } else { HELD }
}
