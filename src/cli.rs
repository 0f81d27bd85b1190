//! The command line: parses the arguments and runs a role or an operator's
//! command.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::command;
use crate::command::OperatorClient;
use crate::command::check::CheckOptions;
use crate::command::print_line;
use crate::command::ticket;
use crate::command::timeline::TimelineOptions;
use crate::error::Error;
use crate::error::Result;

/// Exit code of a command that ran and found a difference or a negative result.
const EXIT_NO: u8 = 1;
/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 2;

/// Load balancer for expert-parallel model groups
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs an entry, which accepts requests from callers
    #[bpaf(command)]
    Entry {
        /// Settings file of the process; without it, the process is hosted and
        /// reads the settings file that the platform wrote for it
        #[bpaf(argument("FILE"), optional)]
        config: Option<PathBuf>,
        /// Port for the metrics of a hosted process
        #[bpaf(argument("PORT"), optional)]
        metrics_port: Option<u16>,
    },
    /// Runs an agent, the process next to an endpoint
    #[bpaf(command)]
    Agent {
        /// Settings file of the process; without it, the process is hosted and
        /// reads the settings file that the platform wrote for it
        #[bpaf(argument("FILE"), optional)]
        config: Option<PathBuf>,
        /// Port for the metrics of a hosted process
        #[bpaf(argument("PORT"), optional)]
        metrics_port: Option<u16>,
    },
    /// Checks settings, directories of tickets, and declarations of hosted fleets before
    /// they are sent
    #[bpaf(command)]
    Check {
        /// The declaration in force: shows what a checked one changes
        #[bpaf(argument("FILE"), optional)]
        against: Option<PathBuf>,
        /// Settings file of a hosted entry, whose memory the limits must fit
        #[bpaf(argument("FILE"), optional)]
        settings: Option<PathBuf>,
        /// Prints one JSON object a file
        json: bool,
        /// Settings file of a process, directory of tickets, or declaration (JSON)
        #[bpaf(positional("FILE"), some("name a file"))]
        files: Vec<PathBuf>,
    },
    /// Change tickets
    #[bpaf(command)]
    Ticket(#[bpaf(external(ticket_command))] TicketCommand),
    /// Shows which processes are alive and what is in force
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        access: Access,
        /// Prints JSON
        json: bool,
    },
    /// Shows the events of all processes in order of time
    #[bpaf(command)]
    Timeline {
        #[bpaf(external(timeline_source))]
        source: TimelineSource,
        /// Only events of this request
        #[bpaf(argument("ID"), optional)]
        request: Option<String>,
        /// First event, in milliseconds since the Unix epoch
        #[bpaf(argument("MS"), fallback(0))]
        since: u64,
        /// Prints new events as they arrive
        follow: bool,
        /// Prints one JSON object per line
        json: bool,
        /// Only events of this kind
        #[bpaf(argument("KIND"), optional)]
        kind: Option<String>,
        /// Only events that concern this workspace
        #[bpaf(argument("NAME"), optional)]
        workspace: Option<String>,
        /// Writes an HTML page with one lane per process instead
        #[bpaf(argument("FILE"), optional)]
        html: Option<PathBuf>,
    },
    /// Runs all roles in one process on loopback, with stand-ins
    #[cfg(feature = "dev")]
    #[bpaf(command)]
    Dev {
        /// File with the number and sizes of the processes to start
        #[bpaf(argument("FILE"), fallback(PathBuf::from("examples/cwmni.toml")))]
        config: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Access {
    /// URL of an entry's operator port, such as http://10.0.0.7:8081
    #[bpaf(argument("URL"))]
    entry: String,
    /// File with the operator's token
    #[bpaf(argument("FILE"))]
    token_file: PathBuf,
}

/// Source of the events.
#[derive(Clone, Debug, Bpaf)]
enum TimelineSource {
    /// Logs of hosted processes.
    Logs {
        /// File with the log lines of one or more processes; may be given several times
        #[bpaf(argument("FILE"), some("state --from FILE"))]
        from: Vec<PathBuf>,
    },
    /// A running entry.
    Live(#[bpaf(external(access))] Access),
}

#[derive(Clone, Debug, Bpaf)]
enum TicketCommand {
    /// Checks a directory of tickets; no process is needed
    #[bpaf(command)]
    Check {
        /// Directory of tickets
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Submits the tickets of a directory, in number order
    #[bpaf(command)]
    Apply {
        /// Address of the platform's object service
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Name of the operator; stored with each ticket
        #[bpaf(argument("NAME"))]
        by: String,
        /// Directory of tickets
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Compares a directory with the accepted tickets
    #[bpaf(command)]
    Diff {
        /// Address of the platform's object service
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Directory of tickets
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Shows the configuration in force
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        access: Access,
        /// Prints JSON
        json: bool,
    },
    /// Shows in which processes a ticket is in force
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Number of the ticket
        #[bpaf(positional("NUMBER"))]
        number: u64,
    },
    /// Prints the hash of an API key or token, read from standard input
    #[bpaf(command("hash-key"))]
    HashKey,
}

/// Runs the command that the arguments of this process name; returns its exit
/// code.
pub fn run() -> ExitCode {
    let command = command().run();
    let runtime = match runtime_for(&command) {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start: {e}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(execute(command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_NO),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Returns the runtime for a command. A hosted process has only a part of one
/// core, where a single-threaded runtime is best.
fn runtime_for(command: &Command) -> std::io::Result<tokio::runtime::Runtime> {
    match command {
        Command::Entry { config: None, .. } | Command::Agent { config: None, .. } => {
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
        }
        _ => tokio::runtime::Runtime::new(),
    }
}

async fn execute(command: Command) -> Result<bool> {
    match command {
        Command::Entry {
            config: Some(file), ..
        } => command::run::entry(&file).await?,
        Command::Agent {
            config: Some(file), ..
        } => command::run::agent(&file).await?,
        Command::Entry {
            config: None,
            metrics_port,
        } => command::hosted::entry(metrics_port).await?,
        Command::Agent {
            config: None,
            metrics_port,
        } => command::hosted::agent(metrics_port).await?,
        Command::Check {
            against,
            settings,
            json,
            files,
        } => {
            let options = CheckOptions {
                against,
                settings,
                json,
            };
            return command::check::run(&files, &options);
        }
        Command::Ticket(command) => return execute_ticket(command).await,
        Command::Status { access, json } => {
            command::status::run(&access.read()?, json).await?;
        }
        Command::Timeline {
            source,
            request,
            since,
            follow,
            json,
            kind,
            workspace,
            html,
        } => {
            let options = TimelineOptions {
                since_ms: since,
                follow,
                json,
                kind,
                workspace,
                request,
            };
            show_timeline(&source, &options, html.as_deref()).await?;
        }
        #[cfg(feature = "dev")]
        Command::Dev { config } => command::dev::run(&config).await?,
    }
    Ok(true)
}

async fn show_timeline(
    source: &TimelineSource,
    options: &TimelineOptions,
    html: Option<&Path>,
) -> Result<()> {
    match (source, html) {
        (TimelineSource::Logs { from }, _) => command::timeline::show_logs(from, options, html),
        (TimelineSource::Live(access), Some(file)) => {
            command::timeline::write_html(&access.read()?, options.since_ms, file).await
        }
        (TimelineSource::Live(access), None) => {
            command::timeline::run(&access.read()?, options).await
        }
    }
}

async fn execute_ticket(command: TicketCommand) -> Result<bool> {
    match command {
        TicketCommand::Check { dir } => ticket::check(&dir)?,
        TicketCommand::Apply { platform, by, dir } => {
            ticket::apply(&dir, &ticket::platform_client(platform), &by).await?;
        }
        TicketCommand::Diff { platform, dir } => {
            return ticket::diff(&dir, &ticket::platform_client(platform)).await;
        }
        TicketCommand::Show { access, json } => ticket::show(&access.read()?, json).await?,
        TicketCommand::Status {
            access,
            json,
            number,
        } => return ticket::status(&access.read()?, number, json).await,
        TicketCommand::HashKey => hash_key()?,
    }
    Ok(true)
}

fn hash_key() -> Result<()> {
    let mut key = String::new();
    std::io::stdin()
        .read_line(&mut key)
        .map_err(|e| Error::Other(format!("standard input: {e}")))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Error::Other("no key; write it to standard input".into()));
    }
    let hash = wisteriawick_core::fleet::KeyHash::new(key);
    print_line(format_args!("{}", hash.to_hex()));
    Ok(())
}

impl Access {
    fn read(&self) -> Result<OperatorClient> {
        let token =
            std::fs::read_to_string(&self.token_file).map_err(Error::file(&self.token_file))?;
        Ok(OperatorClient::new(&self.entry, &token))
    }
}
