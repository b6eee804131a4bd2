//! Compiles `settings.proto` without protoc, to descriptors for parsing the text format and to Rust types.

use prost_build::Config;
use std::{env, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let set = protox::compile(["settings.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("settings.bin"), prost::Message::encode_to_vec(&set))?;
    Config::new().compile_fds(set)?;
    println!("cargo:rerun-if-changed=proto/settings.proto");
    Ok(())
}
