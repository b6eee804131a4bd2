//! Compiles the protobuf schema of the drills without protoc: descriptors for the text format and Rust types.

use prost_build::Config;
use std::{env, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let set = protox::compile(["drill.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("drill.bin"), prost::Message::encode_to_vec(&set))?;
    Config::new().compile_fds(set)?;
    println!("cargo:rerun-if-changed=proto/drill.proto");
    Ok(())
}
