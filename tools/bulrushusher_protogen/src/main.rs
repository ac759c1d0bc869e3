//! Regenerates `crates/bulrushusher_operator/src/generated/` from `operator.proto`.
//!
//! Run `cargo run -p bulrushusher_protogen` in the workspace root. `protoc` isn't needed.

const SCHEMA: &str = "operator.proto";
const SCHEMA_DIR: &str = "crates/bulrushusher_operator/proto";
const OUT_DIR: &str = "crates/bulrushusher_operator/src/generated";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(OUT_DIR)?;
    let schema = protox::compile([SCHEMA], [SCHEMA_DIR])?;
    tonic_prost_build::configure().out_dir(OUT_DIR).compile_fds(schema)?;
    println!("protogen: wrote {OUT_DIR} from {SCHEMA_DIR}/{SCHEMA}");
    Ok(())
}
