//! `import apache`, `import mod-jk`, `import diff`, `import table` and `import codes`.

use anyhow::Context;
use clap::{Args, Subcommand, ValueEnum};
use doorcourse_import::{
    CODES, ConvertOptions, Difference, FileError, Files, Finding, ImportRequest, Limits, Node, PARAMETERS,
    Role, Severity, Source, apache, diff,
};
use std::io::Write;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand, Debug)]
pub enum Import {
    /// Convert an httpd configuration, with the mod_jk files that it names.
    #[command(after_help = "Examples:
  doorcourse import apache /etc/httpd/conf/httpd.conf
  doorcourse import apache --root copy -D SITE=east copy/etc/httpd/httpd.conf --balancer app --out nodes.txtpb

Exit codes: 0 a node list was made; 1 none could be made, or something was left out with --strict; 2 usage error.")]
    Apache {
        /// The main file, and further files that are read after it as if it included them.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Define a name as httpd's -D does, or with =VALUE as a Define directive does.
        #[arg(short = 'D', value_name = "NAME[=VALUE]")]
        define: Vec<String>,
        /// The httpd version by which IfVersion sections are evaluated.
        #[arg(long)]
        httpd_version: Option<String>,
        #[command(flatten)]
        common: Common,
    },
    /// Convert workers.properties files; later files override earlier ones.
    #[command(after_help = "Example:
  doorcourse import mod-jk workers.properties --map uriworkermap.properties --balancer router --out nodes.txtpb

Exit codes: 0 a node list was made; 1 none could be made, or something was left out with --strict; 2 usage error.")]
    ModJk {
        /// The workers.properties files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A uriworkermap.properties file; may be repeated.
        #[arg(long)]
        map: Vec<PathBuf>,
        #[command(flatten)]
        common: Common,
    },
    /// Show what a new node list would change compared with the one in service; exit code 1 if anything differs.
    Diff {
        /// The node list in service.
        old: PathBuf,
        /// The new node list.
        new: PathBuf,
        /// The output format of the differences.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Print a Markdown table of every directive and parameter and how it is converted.
    Table,
    /// Print every finding code with its severity and meaning.
    Codes,
}

#[derive(Args, Debug)]
pub struct Common {
    /// A folder with a copy of the root file system of the machine that the files come from: absolute paths are looked
    /// up below it.
    #[arg(long, value_name = "FOLDER")]
    root: Option<PathBuf>,
    /// The balancer to convert, if there are several.
    #[arg(long, value_name = "NAME")]
    balancer: Option<String>,
    /// The IP address to use for a host name.
    #[arg(long, value_name = "NAME=ADDRESS")]
    host: Vec<String>,
    /// The file for the node list, replaced atomically; standard output by default.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// The output format of the findings, on standard error.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Fail when anything is left out.
    #[arg(long)]
    strict: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line for each finding or difference; a finding is followed by the line of the file.
    Text,
    /// A JSON array.
    Json,
}

/// Files on disk; absolute paths are resolved below the root, if one is given and they do not begin with it already.
struct DiskFiles {
    root: Option<PathBuf>,
}

impl DiskFiles {
    fn resolve(&self, path: &str) -> PathBuf {
        match (&self.root, path.strip_prefix('/')) {
            (Some(root), Some(rest)) if !Path::new(path).starts_with(root) => root.join(rest),
            _ if path.is_empty() => PathBuf::from("."),
            _ => PathBuf::from(path),
        }
    }
}

impl Files for DiskFiles {
    fn read(&self, path: &str) -> Result<Vec<u8>, FileError> {
        let resolved = self.resolve(path);
        // Reading a pipe or a device might never end.
        match std::fs::metadata(&resolved) {
            Ok(metadata) if metadata.is_file() => {}
            Ok(_) => return Err(FileError::Unreadable("not a regular file".into())),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Err(FileError::Missing),
            Err(error) => return Err(FileError::Unreadable(error.to_string())),
        }
        std::fs::read(resolved).map_err(|e| FileError::Unreadable(e.to_string()))
    }

    fn list(&self, folder: &str) -> Option<Vec<(String, bool)>> {
        let entries = std::fs::read_dir(self.resolve(folder)).ok()?;
        let name_and_kind =
            |e: std::fs::DirEntry| (e.file_name().to_string_lossy().into_owned(), e.path().is_dir());
        Some(entries.filter_map(Result::ok).map(name_and_kind).collect())
    }
}

fn path_texts(files: &[PathBuf]) -> Vec<String> {
    files.iter().map(|f| f.to_string_lossy().into_owned()).collect()
}

pub fn run(command: Import) -> anyhow::Result<ExitCode> {
    match command {
        Import::Apache { files, define, httpd_version, common } => {
            let apache_options =
                apache::Options { defines: define, version: httpd_version, limits: Limits::default() };
            let request = ImportRequest {
                apache_files: path_texts(&files),
                apache_options,
                ..ImportRequest::default()
            };
            run_import(request, &common)
        }
        Import::ModJk { files, map, common } => run_import(
            ImportRequest {
                worker_files: path_texts(&files),
                uri_map_files: path_texts(&map),
                ..ImportRequest::default()
            },
            &common,
        ),
        Import::Diff { old, new, format } => run_diff(&old, &new, format),
        Import::Table => {
            print_text!("{}", table());
            Ok(ExitCode::SUCCESS)
        }
        Import::Codes => {
            for (code, severity, text) in CODES {
                print_line!("{code}  {:<12}  {text}", severity.name());
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run_import(mut request: ImportRequest, common: &Common) -> anyhow::Result<ExitCode> {
    let host = |text: &String| -> anyhow::Result<(String, IpAddr)> {
        let (name, address) = text.split_once('=').context("--host: expected NAME=ADDRESS")?;
        let address = address.parse().with_context(|| format!("--host: {address} is not an IP address"))?;
        Ok((name.to_ascii_lowercase(), address))
    };
    let hosts = common.host.iter().map(host).collect::<Result<_, _>>()?;
    request.convert_options = ConvertOptions { balancer: common.balancer.clone(), hosts };
    let disk_files = DiskFiles { root: common.root.clone() };
    let (node_list, findings) = doorcourse_import::import(&disk_files, &request);
    match common.format {
        Format::Text => eprint!("{}", findings.to_text(&disk_files)),
        Format::Json => eprintln!("{}", findings.to_json()),
    }
    let count = |severity| findings.all().iter().filter(|f: &&Finding| f.severity == severity).count();
    let (approximated, left_out) = (count(Severity::Approximated), count(Severity::LeftOut));
    let Some(node_list) = node_list else { return Ok(ExitCode::FAILURE) };
    if common.strict && left_out > 0 {
        eprintln!("doorcourse: {left_out} left out: no node list was written, because of --strict");
        return Ok(ExitCode::FAILURE);
    }
    let text = node_list.to_text();
    match &common.out {
        None => print_text!("{text}"),
        Some(file) => write_atomically(file, &text).with_context(|| file.display().to_string())?,
    }
    if common.format == Format::Text {
        let (nodes, name) = (node_list.nodes.len(), &node_list.balancer);
        eprintln!("balancer {name}: {nodes} nodes; {approximated} approximated, {left_out} left out");
    }
    Ok(ExitCode::SUCCESS)
}

/// Writes a temporary file and renames it: a running gateway may read the file at any time, and finds the old or the
/// new content, never a part.
fn write_atomically(file: &Path, text: &str) -> std::io::Result<()> {
    let mut name = file.file_name().unwrap_or_default().to_os_string();
    name.push(format!(".{}.new", std::process::id()));
    let temporary = file.with_file_name(name);
    let result = std::fs::File::create(&temporary)
        .and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| f.sync_all()))
        .and_then(|()| std::fs::rename(&temporary, file));
    if result.is_err() {
        let _ = std::fs::remove_file(&temporary);
    }
    result
}

fn run_diff(old: &Path, new: &Path, format: Format) -> anyhow::Result<ExitCode> {
    let read = |file: &Path| -> anyhow::Result<doorcourse_config::NodeList> {
        let path = file.display().to_string();
        let text = std::fs::read_to_string(file).with_context(|| path.clone())?;
        doorcourse_config::read_nodes(&path, &text).map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            anyhow::anyhow!("{}", faults.join("\n"))
        })
    };
    let (old, new) = (read(old)?, read(new)?);
    let nodes =
        |file: &doorcourse_config::NodeList| file.nodes.iter().map(to_import_node).collect::<Vec<_>>();
    let mut differences = diff(&nodes(&old), &nodes(&new));
    let routing_text = |file: &doorcourse_config::NodeList| file.routing.as_ref().map(ToString::to_string);
    let (old_routing, new_routing) = (routing_text(&old), routing_text(&new));
    if old_routing != new_routing {
        // Empty instead of `None`: `None` means that a node was added or removed.
        differences.push(Difference {
            node: String::new(),
            field: "routing",
            old: old_routing.or_else(|| Some(String::new())),
            new: new_routing.or_else(|| Some(String::new())),
        });
    }
    match format {
        Format::Text => differences.iter().for_each(|d| print_line!("{d}")),
        Format::Json => print_line!("{}", serde_json::to_string_pretty(&differences)?),
    }
    Ok(if differences.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn to_import_node(node: &doorcourse_config::Node) -> Node {
    let placement = &node.entry.placement;
    Node {
        name: node.entry.name.to_string(),
        address: node.address.to_string(),
        resolved: true,
        weight: placement.weight,
        priority_level: placement.priority_level,
        role: match placement.role {
            doorcourse_config::BackendRole::Active => Role::Active,
            doorcourse_config::BackendRole::Standby => Role::Standby,
            doorcourse_config::BackendRole::Spare => Role::Spare,
            doorcourse_config::BackendRole::StickyOnly => Role::StickyOnly,
        },
        draining: node.entry.state != doorcourse_config::BackendState::Ready,
        route: placement.sticky_route.to_string(),
        redirect: placement.failover_route.to_string(),
        group: placement.failover_group.to_string(),
        location: doorcourse_import::SourceLocation::default(),
    }
}

fn table() -> String {
    let mut text = String::from(
        "| from | of | name | fate | how, or what to do instead |\n| --- | --- | --- | --- | --- |\n",
    );
    for row in PARAMETERS {
        let source = if row.source == Source::Apache { "httpd" } else { "mod_jk" };
        let scope = format!("{:?}", row.scope).to_lowercase();
        let outcome = match row.conversion {
            doorcourse_import::Conversion::Carried => "carried over",
            doorcourse_import::Conversion::Approximated => "approximated",
            doorcourse_import::Conversion::LeftOut => "left out",
        };
        text.push_str(&format!("| {source} | {scope} | `{}` | {outcome} | {} |\n", row.name, row.note));
    }
    text
}
