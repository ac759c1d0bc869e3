//! Runners in processes of their own, which end by themselves.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::platform::end_with_parent;
use crate::record::Record;

/// A runner's process, which is killed on drop. It prints its address first and then what it does, and may
/// read commands.
pub struct RunnerProcess {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    commands: ChildStdin,
    lines: Arc<Mutex<Vec<String>>>,
}

impl RunnerProcess {
    /// Starts this program as a runner, with the arguments of its command.
    pub fn start(id: &str, args: &[&str], record: &Arc<Record>) -> RunnerProcess {
        let program = std::env::current_exe().expect("its own path");
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = end_with_parent(&mut command).spawn().expect("the runner starts");
        let mut output = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let address = output.next().and_then(Result::ok).and_then(|it| it.parse().ok());
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (record, printed) = (record.clone(), lines.clone());
        thread::spawn(move || {
            for line in output.map_while(Result::ok) {
                record.line(&line);
                printed.lock().unwrap().push(line);
            }
        });
        RunnerProcess {
            id: id.to_owned(),
            address: address.expect("its address"),
            commands: child.stdin.take().expect("it is piped"),
            child,
            lines,
        }
    }

    /// True once it has printed a line with the text.
    pub fn has_printed(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Sends it a command.
    pub fn command(&mut self, command: &str) {
        writeln!(self.commands, "{command}").ok();
    }

    /// Waits until it has ended by itself.
    pub fn wait_for_exit(&mut self) {
        self.child.wait().ok();
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
