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
    /// Read httpd's configuration, with the mod_jk files that it names.
    #[command(after_help = "Examples:
  doorcourse import apache /etc/httpd/conf/httpd.conf
  doorcourse import apache --root copy -D SITE=east copy/etc/httpd/httpd.conf --balancer app --out nodes.txtpb

Exit codes: 0 a list was made; 1 none could be made, or --strict and something is left out; 2 wrong use.")]
    Apache {
        /// The main file, and others to be read behind it as if it included them.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A name defined as by httpd's own -D; with =VALUE as by Define.
        #[arg(short = 'D', value_name = "NAME[=VALUE]")]
        define: Vec<String>,
        /// httpd's version, to decide IfVersion.
        #[arg(long)]
        httpd_version: Option<String>,
        #[command(flatten)]
        common: Common,
    },
    /// Read workers.properties files, later ones over earlier ones.
    #[command(after_help = "Example:
  doorcourse import mod-jk workers.properties --map uriworkermap.properties --balancer router --out nodes.txtpb

Exit codes: 0 a list was made; 1 none could be made, or --strict and something is left out; 2 wrong use.")]
    ModJk {
        /// workers.properties files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// uriworkermap.properties files.
        #[arg(long)]
        map: Vec<PathBuf>,
        #[command(flatten)]
        common: Common,
    },
    /// Tell what a new node list would change in a running one; 1 if anything does.
    Diff {
        /// The list in service.
        old: PathBuf,
        /// The new one.
        new: PathBuf,
        /// How differences are told.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Print the table of every directive and parameter and what becomes of it, as Markdown.
    Table,
    /// Print every code of a finding and what it means.
    Codes,
}

#[derive(Args, Debug)]
pub struct Common {
    /// The folder that stands for "/" of the machine that the files come from.
    #[arg(long, value_name = "FOLDER")]
    root: Option<PathBuf>,
    /// The balancer, where there are several.
    #[arg(long, value_name = "NAME")]
    balancer: Option<String>,
    /// The address of a host name.
    #[arg(long, value_name = "NAME=ADDRESS")]
    host: Vec<String>,
    /// Where the list goes, whole or not at all; standard output otherwise.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// How findings are told, on standard error.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Fail when anything is left out.
    #[arg(long)]
    strict: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A line each, with the file's line below.
    Text,
    /// A JSON array.
    Json,
}

/// Files on disk; absolute paths below a root where one is given.
struct Disk {
    root: Option<PathBuf>,
}

impl Disk {
    fn place(&self, path: &str) -> PathBuf {
        match (&self.root, path.strip_prefix('/')) {
            (Some(root), Some(rest)) if !Path::new(path).starts_with(root) => root.join(rest),
            _ if path.is_empty() => PathBuf::from("."),
            _ => PathBuf::from(path),
        }
    }
}

impl Files for Disk {
    fn read(&self, path: &str) -> Result<Vec<u8>, FileError> {
        let place = self.place(path);
        // A pipe or a device would never end.
        match std::fs::metadata(&place) {
            Ok(known) if known.is_file() => {}
            Ok(_) => return Err(FileError::Unreadable("it is no regular file".into())),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Err(FileError::Missing),
            Err(error) => return Err(FileError::Unreadable(error.to_string())),
        }
        std::fs::read(place).map_err(|e| FileError::Unreadable(e.to_string()))
    }

    fn list(&self, folder: &str) -> Option<Vec<(String, bool)>> {
        let entries = std::fs::read_dir(self.place(folder)).ok()?;
        let one = |e: std::fs::DirEntry| (e.file_name().to_string_lossy().into_owned(), e.path().is_dir());
        Some(entries.filter_map(Result::ok).map(one).collect())
    }
}

fn names(files: &[PathBuf]) -> Vec<String> {
    files.iter().map(|f| f.to_string_lossy().into_owned()).collect()
}

pub fn run(command: Import) -> anyhow::Result<ExitCode> {
    match command {
        Import::Apache { files, define, httpd_version, common } => {
            let apache_options =
                apache::Options { defines: define, version: httpd_version, limits: Limits::default() };
            let request =
                ImportRequest { apache_files: names(&files), apache_options, ..ImportRequest::default() };
            carry(request, &common)
        }
        Import::ModJk { files, map, common } => carry(
            ImportRequest {
                worker_files: names(&files),
                uri_map_files: names(&map),
                ..ImportRequest::default()
            },
            &common,
        ),
        Import::Diff { old, new, format } => differ(&old, &new, format),
        Import::Table => {
            say_on!("{}", table());
            Ok(ExitCode::SUCCESS)
        }
        Import::Codes => {
            for (code, severity, text) in CODES {
                say!("{code}  {:<12}  {text}", severity.name());
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn carry(mut request: ImportRequest, common: &Common) -> anyhow::Result<ExitCode> {
    let host = |text: &String| -> anyhow::Result<(String, IpAddr)> {
        let (name, address) = text.split_once('=').context("--host: NAME=ADDRESS is wanted")?;
        let address = address.parse().with_context(|| format!("--host: {address} is no address"))?;
        Ok((name.to_ascii_lowercase(), address))
    };
    let hosts = common.host.iter().map(host).collect::<Result<_, _>>()?;
    request.convert_options = ConvertOptions { balancer: common.balancer.clone(), hosts };
    let disk = Disk { root: common.root.clone() };
    let (carried, findings) = doorcourse_import::import(&disk, &request);
    match common.format {
        Format::Text => eprint!("{}", findings.to_text(&disk)),
        Format::Json => eprintln!("{}", findings.to_json()),
    }
    let count = |wanted| findings.all().iter().filter(|f: &&Finding| f.severity == wanted).count();
    let (about, left) = (count(Severity::Approximated), count(Severity::LeftOut));
    let Some(carried) = carried else { return Ok(ExitCode::FAILURE) };
    if common.strict && left > 0 {
        eprintln!("doorcourse: {left} left out: no list, as --strict wants it");
        return Ok(ExitCode::FAILURE);
    }
    let text = carried.to_text();
    match &common.out {
        None => say_on!("{text}"),
        Some(file) => write_whole(file, &text).with_context(|| file.display().to_string())?,
    }
    if common.format == Format::Text {
        let (nodes, name) = (carried.nodes.len(), &carried.balancer);
        eprintln!(
            "balancer {name}: {nodes} nodes; {about} findings of what is approximated, {left} of what is left out"
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// A running gateway may read the file at any time: it finds the old one or the new one, never a part.
fn write_whole(file: &Path, text: &str) -> std::io::Result<()> {
    let mut name = file.file_name().unwrap_or_default().to_os_string();
    name.push(format!(".{}.new", std::process::id()));
    let beside = file.with_file_name(name);
    let written = std::fs::File::create(&beside)
        .and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| f.sync_all()))
        .and_then(|()| std::fs::rename(&beside, file));
    if written.is_err() {
        let _ = std::fs::remove_file(&beside);
    }
    written
}

fn differ(old: &Path, new: &Path, format: Format) -> anyhow::Result<ExitCode> {
    let read = |file: &Path| -> anyhow::Result<doorcourse_config::NodeFile> {
        let shown = file.display().to_string();
        let text = std::fs::read_to_string(file).with_context(|| shown.clone())?;
        doorcourse_config::read_nodes(&shown, &text).map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            anyhow::anyhow!("{}", faults.join("\n"))
        })
    };
    let (old, new) = (read(old)?, read(new)?);
    let nodes = |file: &doorcourse_config::NodeFile| file.nodes.iter().map(node).collect::<Vec<_>>();
    let mut all = diff(&nodes(&old), &nodes(&new));
    let shown = |file: &doorcourse_config::NodeFile| file.routing.as_ref().map(ToString::to_string);
    let (was, is) = (shown(&old), shown(&new));
    if was != is {
        all.push(Difference {
            node: String::new(),
            field: "routing",
            old: was.or_else(|| Some(String::new())),
            new: is.or_else(|| Some(String::new())),
        });
    }
    match format {
        Format::Text => all.iter().for_each(|d| say!("{d}")),
        Format::Json => say!("{}", serde_json::to_string_pretty(&all)?),
    }
    Ok(if all.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn node(node: &doorcourse_config::Node) -> Node {
    let place = &node.entry.placement;
    Node {
        name: node.entry.name.to_string(),
        address: node.address.to_string(),
        resolved: true,
        weight: place.weight,
        priority_level: place.priority_level,
        role: match place.role {
            doorcourse_config::BackendRole::Active => Role::Active,
            doorcourse_config::BackendRole::Standby => Role::Standby,
            doorcourse_config::BackendRole::Spare => Role::Spare,
            doorcourse_config::BackendRole::StickyOnly => Role::StickyOnly,
        },
        draining: node.entry.state != doorcourse_config::BackendState::Ready,
        route: place.sticky_route.to_string(),
        redirect: place.failover_route.to_string(),
        group: place.failover_group.to_string(),
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
        let fate = match row.conversion {
            doorcourse_import::Conversion::Carried => "carried over",
            doorcourse_import::Conversion::Approximated => "approximated",
            doorcourse_import::Conversion::LeftOut => "left out",
        };
        text.push_str(&format!("| {source} | {scope} | `{}` | {fate} | {} |\n", row.name, row.note));
    }
    text
}
