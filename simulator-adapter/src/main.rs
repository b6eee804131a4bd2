//! `doorcourse-simhost`: the wire on standard input and output.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    match doorcourse_simulator_adapter::Host::default().run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doorcourse-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
