//! `bulrush-agent`: runs next to one endpoint and controls all access to it.

use bulrushusher_agent::{Agent, AgentConfig, PROGRAM};
use bulrushusher_config::init_logs;

fn main() -> std::io::Result<()> {
    let cfg = PROGRAM.configure(AgentConfig::from_values);
    init_logs();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let agent = Agent::start(cfg).await?;
        bulrushusher_http::shutdown_signal().await?;
        agent.shut_down().await;
        Ok(())
    })
}
