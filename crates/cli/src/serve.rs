//! `serve` and `check`.

use anyhow::Context;
use doorcourse_config::{Config, Fault};
use doorcourse_http_gateway::{Gateway, GatewayOptions};
use std::path::Path;
use std::process::ExitCode;

/// Reads settings and the files that they name, relative to their folder.
fn read(file: &Path) -> anyhow::Result<Result<Config, Vec<Fault>>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let folder = file.parent().unwrap_or(Path::new(""));
    let open = |name: &str| std::fs::read_to_string(folder.join(name)).map_err(|e| e.to_string());
    Ok(doorcourse_config::read(&file.display().to_string(), &text, &open))
}

fn told(faults: &[Fault]) -> ExitCode {
    faults.iter().for_each(|fault| eprintln!("{fault}"));
    ExitCode::FAILURE
}

pub fn check(file: &Path) -> anyhow::Result<ExitCode> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let shown = file.display().to_string();
    if doorcourse_config::is_node_list(&shown, &text) {
        return Ok(match doorcourse_config::read_nodes(&shown, &text) {
            Err(faults) => told(&faults),
            Ok(list) => {
                say!("{shown}: good: a list of {} nodes", list.nodes.len());
                ExitCode::SUCCESS
            }
        });
    }
    Ok(match read(file)? {
        Err(faults) => told(&faults),
        Ok(config) => {
            let (plans, classes) = (config.decisions.plans.len(), config.decisions.classes.len());
            say!(
                "{}: good: {classes} classes, {plans} plans, {} keys",
                file.display(),
                config.customers.len()
            );
            ExitCode::SUCCESS
        }
    })
}

pub fn serve(file: &Path, seed: Option<u64>, take_over: bool) -> anyhow::Result<ExitCode> {
    let config = match read(file)? {
        Ok(config) => config,
        Err(faults) => return Ok(told(&faults)),
    };
    let folder = file.parent().unwrap_or(Path::new(""));
    let again = file.to_owned();
    let reread = std::sync::Arc::new(move || match read(&again) {
        Ok(Ok(config)) => Ok(config),
        Ok(Err(faults)) => Err(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        Err(error) => Err(format!("{error:#}")),
    });
    let mut gateway = Gateway::new(GatewayOptions {
        config,
        directory: folder,
        seed,
        read_settings: Some(reread),
        take_over,
    })?;
    gateway.stop_at_signals()?;
    gateway.run()?;
    Ok(ExitCode::SUCCESS)
}
