//! A simulated process: an async runtime of its own.

use std::future::Future;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

/// A runtime that can be killed at any point, or paused.
#[derive(Debug)]
pub struct Node {
    runtime: Option<Runtime>,
}

impl Node {
    /// Creates an idle node with one worker thread.
    ///
    /// # Errors
    /// The I/O error of creating the runtime, such as "too many threads".
    pub fn new(name: &str) -> std::io::Result<Node> {
        let runtime =
            Builder::new_multi_thread().worker_threads(1).thread_name(name).enable_all().build()?;
        Ok(Node { runtime: Some(runtime) })
    }

    /// Runs a future on the node and returns its output.
    ///
    /// # Panics
    /// If the node was killed or the future panics.
    pub async fn run<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> T {
        let runtime = self.runtime.as_ref().expect("the node is alive");
        runtime.spawn(future).await.expect("the future does not panic")
    }

    /// Kills the node: drops its tasks wherever they are suspended and closes their sockets.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// True until the node is killed.
    pub fn is_alive(&self) -> bool {
        self.runtime.is_some()
    }

    /// Blocks the node's only worker thread for `duration`, which simulates a paused process.
    pub fn pause(&self, duration: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { std::thread::sleep(duration) });
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
