//! `doorcourse-simhost`: hosts gateways on the simulator's wire, over standard input and output.

#![forbid(unsafe_code)]

use doorcourse_simulator_adapter::Host;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    match Host::default().run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doorcourse-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
