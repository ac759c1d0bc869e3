//! `bulrush-entry`: serves the callers' HTTP API and the operators' RPC.

use bulrushusher_config::init_logs;
use bulrushusher_entry::{Entry, EntryConfig, PROGRAM};

fn main() -> std::io::Result<()> {
    let cfg = PROGRAM.configure(EntryConfig::from_values);
    init_logs();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let entry = Entry::start(cfg).await?;
        bulrushusher_http::shutdown_signal().await?;
        entry.shut_down().await;
        Ok(())
    })
}
