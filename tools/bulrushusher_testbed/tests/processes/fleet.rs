//! Runs the programs as separate processes on loopback, and kills, suspends or terminates them.

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

/// Timeout of every wait. The tests assert nothing else about time.
pub const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const DECODES: usize = 3;
const ENTRIES: usize = 2;

/// A child process, killed on drop.
pub struct Process {
    program: &'static str,
    file: PathBuf,
    subcommand: Option<&'static str>,
    child: Child,
}

impl Process {
    fn start(program: &'static str, file: PathBuf, subcommand: Option<&'static str>) -> Process {
        let mut path = std::env::current_exe().expect("the path of the test binary");
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

    /// Kills the process with SIGKILL and waits for it.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }

    /// Restarts the program with the same settings.
    pub fn restart(&mut self) {
        *self = Process::start(self.program, self.file.clone(), self.subcommand);
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits until the process exits.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process status can be read") {
                return status;
            }
            assert!(tokio::time::Instant::now() < deadline, "{} does not exit", self.program);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A deployment of one prefill runner, three decode runners, one plain service, two entries and one
/// store.
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

/// Allocates ports on a loopback address that is unique to the fleet, so that concurrent tests
/// don't conflict.
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

    fn next(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::new(self.ip.into(), self.next_port)
    }
}

impl Fleet {
    pub async fn start(name: &str) -> Fleet {
        let dir = std::env::temp_dir().join(format!("bulrush-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the settings directory can be created");
        let mut addresses = Addresses::new();
        let (store, service) = (addresses.next(), addresses.next());
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
        std::fs::write(&file, text).expect("the settings can be written");
        file
    }

    /// Starts a process of stand-ins and its agents. Only the store, prefill engine and plain
    /// service of the first process are used.
    fn start_runners(&mut self, number: usize) -> Vec<v1::Endpoint> {
        let (prefill, decode) = (self.addresses.next(), self.addresses.next());
        let (store, service) = match number {
            0 => (self.store, self.service),
            _ => (self.addresses.next(), self.addresses.next()),
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
            let (control, stream) = (self.addresses.next(), self.addresses.next());
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
        let (callers, operators) = (self.addresses.next(), self.addresses.next());
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
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        loop {
            match OperatorClient::connect(url.clone()).await {
                Ok(client) => return client,
                Err(e) => assert!(
                    tokio::time::Instant::now() < deadline,
                    "cannot connect to the entry: {e}"
                ),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn configure(&self, endpoints: Vec<v1::Endpoint>) {
        let mut operator = self.operator(0).await;
        let count = endpoints.len();
        let mut revision = 0;
        for endpoint in endpoints {
            let put =
                || v1::PutEndpointRequest { endpoint: Some(endpoint.clone()), expected_version: 0 };
            // Retried because the store may not listen yet.
            let deadline = tokio::time::Instant::now() + TIMEOUT;
            let reply = loop {
                match operator.put_endpoint(put()).await {
                    Ok(reply) => break reply,
                    Err(e) => assert!(
                        tokio::time::Instant::now() < deadline,
                        "the endpoint is not accepted: {e}"
                    ),
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            };
            revision = reply.into_inner().revision;
        }
        for entry in 0..ENTRIES {
            self.wait_status(entry, |status| {
                let reachable =
                    status.endpoints.iter().filter(|e| e.heard_ms_ago != u64::MAX).count();
                status.revision >= revision && reachable == count
            })
            .await;
        }
        // The agents' records cover only keys that are created later than the agents' start by more
        // than the clock skew, and only once the agents have exchanged messages.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
    }

    /// Waits until an entry's status fulfils a condition.
    pub async fn wait_status(&self, entry: usize, condition: impl Fn(&v1::StatusReply) -> bool) {
        let mut operator = self.operator(entry).await;
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        loop {
            let status = operator.status(v1::StatusRequest {}).await;
            if status.is_ok_and(|status| condition(status.get_ref())) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "timed out waiting for the entry's status"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.callers.clone())
    }

    pub async fn counts(&self, target: SocketAddr) -> Counts {
        self.http.get(target, "/counts", TIMEOUT).await.expect("the stand-in answers")
    }

    /// Number of runs of a key according to the counters of the engines and the service.
    pub async fn runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for target in self.engines.iter().chain([&self.service]) {
            runs += self.counts(*target).await.keys.get(key).map_or(0, |count| count.runs);
        }
        runs
    }

    /// Number of decode slots in use according to the engines' counters.
    pub async fn held(&self) -> usize {
        let mut held = 0;
        for engine in &self.engines {
            held += self.counts(*engine).await.held_places;
        }
        held
    }

    /// Waits until no decode slot is in use.
    pub async fn wait_released(&self) {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        while self.held().await > 0 {
            assert!(tokio::time::Instant::now() < deadline, "decode slots are still in use");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until an engine decodes and returns its number.
    pub async fn wait_decoding(&self) -> usize {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        loop {
            for (number, engine) in self.engines.iter().enumerate() {
                if !self.counts(*engine).await.keys.is_empty() && self.held().await > 0 {
                    return number;
                }
            }
            assert!(tokio::time::Instant::now() < deadline, "no engine decodes");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn set_store_faults(&self, faults: StoreFaults) {
        let set: Result<String, _> = self.http.post(self.store, "/faults", &faults, TIMEOUT).await;
        set.expect("the store accepts faults");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// A prompt with a key and no class, which makes it non-idempotent by default.
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
