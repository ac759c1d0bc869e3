//! One process of the deployment, played by a runtime of its own.

use std::future::Future;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

/// A runtime that can be killed at any point, or paused.
#[derive(Debug)]
pub struct Node {
    runtime: Option<Runtime>,
}

impl Node {
    /// A node with one worker, which nothing runs on yet.
    ///
    /// # Errors
    /// What the system says, such as "too many threads".
    pub fn new(name: &str) -> std::io::Result<Node> {
        let runtime =
            Builder::new_multi_thread().worker_threads(1).thread_name(name).enable_all().build()?;
        Ok(Node { runtime: Some(runtime) })
    }

    /// Runs a future on the node to its end.
    ///
    /// # Panics
    /// When the node was killed, or the future panics.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> T {
        let runtime = self.runtime.as_ref().expect("the node runs");
        runtime.spawn(work).await.expect("the node's work does not panic")
    }

    /// Kills the node: every task is dropped and every socket closed, at whatever point it is.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// True until the node is killed.
    pub fn is_alive(&self) -> bool {
        self.runtime.is_some()
    }

    /// Stops the node's only worker for a while, as a paused process would be.
    pub fn pause(&self, length: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { std::thread::sleep(length) });
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
