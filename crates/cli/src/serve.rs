//! `serve` and `check`.

use anyhow::Context;
use doorcourse_config::{Config, Fault};
use doorcourse_http_gateway::{Gateway, GatewayOptions, ReadSettings};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// The directory to which the paths in a settings file are relative.
fn directory(file: &Path) -> &Path {
    file.parent().unwrap_or(Path::new(""))
}

/// Reads settings and the files that they name. The outer error is an unreadable file, the inner one lists the faults
/// of the settings.
fn read_settings(file: &Path) -> anyhow::Result<Result<Config, Vec<Fault>>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let read_named =
        |name: &str| std::fs::read_to_string(directory(file).join(name)).map_err(|error| error.to_string());
    Ok(doorcourse_config::read(&file.display().to_string(), &text, &read_named))
}

/// Prints each fault on standard error and returns the exit code for a failure.
fn report_faults(faults: &[Fault]) -> ExitCode {
    faults.iter().for_each(|fault| eprintln!("{fault}"));
    ExitCode::FAILURE
}

/// Checks settings or a node list: prints a summary, or each fault.
///
/// # Errors
/// Fails when the file cannot be read.
pub fn check(file: &Path) -> anyhow::Result<ExitCode> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let path = file.display().to_string();
    if doorcourse_config::is_node_list(&path, &text) {
        return Ok(check_node_list(&path, &text));
    }
    let config = match read_settings(file)? {
        Ok(config) => config,
        Err(faults) => return Ok(report_faults(&faults)),
    };
    let classes = config.decisions.classes.len();
    let plans = config.decisions.plans.len();
    let keys = config.customers_by_key.len();
    print_line!("{path}: good: {classes} classes, {plans} plans, {keys} keys");
    Ok(ExitCode::SUCCESS)
}

fn check_node_list(path: &str, text: &str) -> ExitCode {
    match doorcourse_config::read_nodes(path, text) {
        Err(faults) => report_faults(&faults),
        Ok(list) => {
            print_line!("{path}: good: a list of {} nodes", list.nodes.len());
            ExitCode::SUCCESS
        }
    }
}

/// Runs a gateway until its drain ends. `seed` is that of random decisions; `None` selects a random one.
///
/// # Errors
/// Fails when the settings cannot be read, or the gateway cannot start or serve.
pub fn serve(file: &Path, seed: Option<u64>, take_over: bool) -> anyhow::Result<ExitCode> {
    let config = match read_settings(file)? {
        Ok(config) => config,
        Err(faults) => return Ok(report_faults(&faults)),
    };
    let mut gateway = Gateway::new(GatewayOptions {
        config,
        directory: directory(file),
        seed,
        read_settings: Some(settings_reader(file)),
        take_over,
    })?;
    gateway.stop_at_signals()?;
    gateway.run()?;
    Ok(ExitCode::SUCCESS)
}

/// Returns a function that reads the settings file again for a reload and joins all faults into one message.
fn settings_reader(file: &Path) -> ReadSettings {
    let file = file.to_owned();
    Arc::new(move || match read_settings(&file) {
        Ok(Ok(config)) => Ok(config),
        Ok(Err(faults)) => Err(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        Err(error) => Err(format!("{error:#}")),
    })
}
