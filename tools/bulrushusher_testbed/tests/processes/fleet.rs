//! The programs as separate processes on loopback, with the means to kill, freeze and end them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bulrushusher_http::HttpClient;
use bulrushusher_operator::v1;
use bulrushusher_operator::v1::operator_client::OperatorClient;
use bulrushusher_standin::caller::{Caller, Request, RequestKind};
use bulrushusher_standin::engine::Counts;
use bulrushusher_standin::load::fresh_key;
use bulrushusher_standin::store::StoreFaults;

/// How long anything may take before a test fails; nothing is asserted about time otherwise.
pub const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(25);
const DECODES: usize = 3;
const ENTRIES: usize = 2;

/// A process of this test; killed when dropped.
pub struct Process {
    program: &'static str,
    file: PathBuf,
    subcommand: Option<&'static str>,
    child: Child,
}

impl Process {
    fn start(program: &'static str, file: PathBuf, subcommand: Option<&'static str>) -> Process {
        let mut path = std::env::current_exe().expect("this test has a path");
        path.pop();
        path.pop();
        let path = path.join(program);
        assert!(path.exists(), "{program} is not built; run `cargo build --workspace` first");
        let child = Command::new(path)
            .args(subcommand)
            .arg("--config")
            .arg(&file)
            .env("RUST_LOG", "error")
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Process { program, file, subcommand, child }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("it can be killed");
        self.child.wait().expect("it ends");
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self) {
        *self = Process::start(self.program, self.file.clone(), self.subcommand);
    }

    pub fn freeze(&self) {
        self.signal("STOP");
    }

    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Asks it to shut down.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let end = tokio::time::Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("it can be asked") {
                return status;
            }
            assert!(tokio::time::Instant::now() < end, "{} does not end", self.program);
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// One prefill runner, three decode runners, one plain service, two entries, one store.
pub struct Fleet {
    pub standins: Vec<Process>,
    pub decode_agents: Vec<Process>,
    pub _other_agents: Vec<Process>,
    pub entries: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    store: SocketAddr,
    pub engines: Vec<SocketAddr>,
    pub service: SocketAddr,
    addresses: Addresses,
    dir: PathBuf,
    http: HttpClient,
}

/// Hands out addresses that nobody else uses: every fleet has a loopback address of its own.
struct Addresses {
    ip: Ipv4Addr,
    next_port: u16,
}

impl Addresses {
    fn new() -> Addresses {
        const FIRST_PORT: u16 = 7_000;
        static FLEETS: AtomicU8 = AtomicU8::new(1);
        let id = std::process::id();
        let (high, low) = (1 + (id / 250 % 250) as u8, (id % 250) as u8);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        Addresses { ip: Ipv4Addr::new(127, high, low, fleet), next_port: FIRST_PORT }
    }

    fn take(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::new(self.ip.into(), self.next_port)
    }
}

impl Fleet {
    pub async fn start(name: &str) -> Fleet {
        let dir = std::env::temp_dir().join(format!("bulrush-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let mut addresses = Addresses::new();
        let (store, service) = (addresses.take(), addresses.take());
        let mut fleet = Fleet {
            addresses,
            standins: Vec::new(),
            decode_agents: Vec::new(),
            _other_agents: Vec::new(),
            entries: Vec::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            store,
            engines: Vec::new(),
            service,
            dir,
            http: HttpClient::new(),
        };
        let mut endpoints = Vec::new();
        for number in 0..DECODES {
            endpoints.extend(fleet.start_runners(number));
        }
        for number in 0..ENTRIES {
            fleet.start_entry(number);
        }
        fleet.configure(endpoints).await;
        fleet
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.dir.join(name);
        std::fs::write(&file, text).expect("settings are written");
        file
    }

    /// A process of stand-ins, with its agents. Only the first one's store, prefill engine and
    /// service are used.
    fn start_runners(&mut self, number: usize) -> Vec<v1::Endpoint> {
        let (prefill, decode) = (self.addresses.take(), self.addresses.take());
        let (store, service) = match number {
            0 => (self.store, self.service),
            _ => (self.addresses.take(), self.addresses.take()),
        };
        let text = format!(
            "[store]\nlisten = {store}\n[prefill]\nlisten = {prefill}\n[decode]\nlisten = {decode}\n\
             [service]\nlisten = {service}\n"
        );
        let file = self.write(&format!("standin-{number}.ini"), &text);
        self.standins.push(Process::start("bulrush-standin", file, Some("run")));
        self.engines.push(decode);
        let mut endpoints = Vec::new();
        let mut agents = vec![("decode", "rationale-llm", decode)];
        if number == 0 {
            agents.push(("prefill", "rationale-llm", prefill));
            agents.push(("service", "board-app", service));
        }
        for (role, service, target) in agents {
            let (control, stream) = (self.addresses.take(), self.addresses.take());
            let name = format!("{role}-{number}");
            let text = format!(
                "[agent]\nname = {name}\nservice = {service}\nrole = {role}\ndata_centre = dc\n\
                 control = {control}\nstream = {stream}\ntarget = {target}\n[records]\nskew_ms = 50\n"
            );
            let file = self.write(&format!("agent-{name}.ini"), &text);
            let process = Process::start("bulrush-agent", file, None);
            match role {
                "decode" => self.decode_agents.push(process),
                _ => self._other_agents.push(process),
            }
            endpoints.push(v1::Endpoint {
                name,
                service: service.to_owned(),
                role: role.to_owned(),
                data_centre: "dc".to_owned(),
                control: control.to_string(),
                stream: stream.to_string(),
                ..v1::Endpoint::default()
            });
        }
        endpoints
    }

    fn start_entry(&mut self, number: usize) {
        let (callers, operators) = (self.addresses.take(), self.addresses.take());
        let text = format!(
            "[entry]\nname = entry-{number}\ndata_centre = dc\ncallers = {callers}\n\
             operators = {operators}\nstore = {}\n[records]\nskew_ms = 50\n",
            self.store
        );
        let file = self.write(&format!("entry-{number}.ini"), &text);
        self.entries.push(Process::start("bulrush-entry", file, None));
        self.callers.push(callers);
        self.operators.push(operators);
    }

    pub async fn operator(&self, entry: usize) -> OperatorClient<tonic::transport::Channel> {
        let url = format!("http://{}", self.operators[entry]);
        let end = tokio::time::Instant::now() + PATIENCE;
        loop {
            match OperatorClient::connect(url.clone()).await {
                Ok(client) => return client,
                Err(e) => assert!(tokio::time::Instant::now() < end, "no entry: {e}"),
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn configure(&self, endpoints: Vec<v1::Endpoint>) {
        let mut operator = self.operator(0).await;
        let count = endpoints.len();
        let mut revision = 0;
        for endpoint in endpoints {
            let put =
                || v1::PutEndpointRequest { endpoint: Some(endpoint.clone()), expected_version: 0 };
            // The store may not listen yet.
            let end = tokio::time::Instant::now() + PATIENCE;
            let reply = loop {
                match operator.put_endpoint(put()).await {
                    Ok(reply) => break reply,
                    Err(e) => assert!(tokio::time::Instant::now() < end, "not accepted: {e}"),
                }
                tokio::time::sleep(POLL).await;
            };
            revision = reply.into_inner().revision;
        }
        for entry in 0..ENTRIES {
            self.wait_status(entry, |status| {
                let heard = status.endpoints.iter().filter(|e| e.heard_ms_ago != u64::MAX).count();
                status.revision >= revision && heard == count
            })
            .await;
        }
        // Keys are vouched for once they are younger than the agents by more than the skew, and
        // the agents have heard from each other.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
    }

    /// Waits until an entry's status is as wanted.
    pub async fn wait_status(&self, entry: usize, wanted: impl Fn(&v1::StatusReply) -> bool) {
        let mut operator = self.operator(entry).await;
        let end = tokio::time::Instant::now() + PATIENCE;
        loop {
            let status = operator.status(v1::StatusRequest {}).await;
            if status.is_ok_and(|status| wanted(status.get_ref())) {
                return;
            }
            assert!(tokio::time::Instant::now() < end, "the status is not as wanted in time");
            tokio::time::sleep(POLL).await;
        }
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.callers.clone())
    }

    pub async fn counts(&self, target: SocketAddr) -> Counts {
        self.http.get(target, "/counts", PATIENCE).await.expect("the stand-in answers")
    }

    /// How often a key ran, by the engines' and the service's own records.
    pub async fn runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for target in self.engines.iter().chain([&self.service]) {
            runs += self.counts(*target).await.keys.get(key).map_or(0, |count| count.runs);
        }
        runs
    }

    /// Decode places held, by the engines' own records.
    pub async fn held(&self) -> usize {
        let mut held = 0;
        for engine in &self.engines {
            held += self.counts(*engine).await.held_places;
        }
        held
    }

    /// Waits until no decode place is held.
    pub async fn wait_released(&self) {
        let end = tokio::time::Instant::now() + PATIENCE;
        while self.held().await > 0 {
            assert!(tokio::time::Instant::now() < end, "engine memory stays held");
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until some engine decodes, and tells which.
    pub async fn wait_decoding(&self) -> usize {
        let end = tokio::time::Instant::now() + PATIENCE;
        loop {
            for (number, engine) in self.engines.iter().enumerate() {
                if !self.counts(*engine).await.keys.is_empty() && self.held().await > 0 {
                    return number;
                }
            }
            assert!(tokio::time::Instant::now() < end, "nothing decodes");
            tokio::time::sleep(POLL).await;
        }
    }

    pub async fn set_store_faults(&self, faults: StoreFaults) {
        let set: Result<String, _> = self.http.post(self.store, "/faults", &faults, PATIENCE).await;
        set.expect("the store takes faults");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// A billed prompt with a key: non-idempotent by its default class.
pub fn prompt(mark: &str, tokens: usize) -> Request {
    Request {
        kind: RequestKind::Prompt {
            model: "rationale-llm".to_owned(),
            prompt: format!("{} #{mark}", "a palette for a kitchen. ".repeat(40)),
            max_tokens: tokens,
        },
        mark: mark.to_owned(),
        key: Some(fresh_key()),
        class: None,
        account: None,
        cancel_after: None,
    }
}
