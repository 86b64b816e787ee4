//! Runs the commands.

use std::io;
use std::net;
use std::sync;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::change;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;

use crate::args;
use crate::explain;
use crate::files;
use crate::outcome;
use crate::plan;
use crate::record_change;
use crate::render;
use crate::status;
use crate::store;
use crate::survey;
use crate::views;

/// Clients of the systems that the commands use.
#[derive(Clone)]
pub struct CtlClients {
    /// Client of the platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Client of the platform's cloud.
    pub cloud: sync::Arc<dyn cloud::CloudApi>,
    /// Client of the control threads.
    pub daemon_client: sync::Arc<dyn survey::DaemonClient>,
}

/// Settings that apply to every command.
#[derive(Clone, Debug)]
pub struct CommandContext {
    /// Author name of written changes.
    pub author: sync::Arc<str>,
    /// Maximum time to wait until a change is in force at every daemon.
    pub wait: time::Millis,
    /// Control addresses that are used if the platform's list can't be read.
    pub seeds: Vec<net::SocketAddr>,
    /// Output format.
    pub format: args::OutputFormat,
}

/// Runs commands; prints results to `out` and progress messages to `progress`.
pub struct CommandRunner<'a> {
    clients: CtlClients,
    context: CommandContext,
    store: store::RecordStore,
    out: &'a mut (dyn io::Write + Send),
    progress: &'a mut (dyn io::Write + Send),
}

impl<'a> CommandRunner<'a> {
    /// Creates a runner that prints to `out` and `progress`.
    pub fn new(
        clients: CtlClients,
        context: CommandContext,
        out: &'a mut (dyn io::Write + Send),
        progress: &'a mut (dyn io::Write + Send),
    ) -> Self {
        let store = store::RecordStore::new(clients.table.clone());
        CommandRunner { clients, context, store, out, progress }
    }

    /// Runs a command.
    ///
    /// # Errors
    ///
    /// Returns the reason why the command failed, which determines the exit code.
    pub async fn run(&mut self, command: &args::Command) -> Result<(), outcome::CtlError> {
        match command {
            args::Command::Validate(args) => self.validate(args).await,
            args::Command::Apply(args) => self.apply(args).await,
            args::Command::Withdraw(args) => self.withdraw(args).await,
            args::Command::Get(args) => self.get(args).await,
            args::Command::History(args) => self.history(args).await,
            args::Command::Status(_) => self.status().await,
            args::Command::Drain(args) => self.drain(args).await,
            args::Command::Explain(args) => self.explain(args).await,
            args::Command::Plan(_) => self.plan().await,
        }
    }

    async fn validate(&mut self, args: &args::ValidateArgs) -> Result<(), outcome::CtlError> {
        let entries = files::read_all(&args.files)?;
        let count = entries.len();
        let current = if args.with_current { self.store.current().await? } else { None };
        let mut bundle = current.map(|current| current.row.bundle()).unwrap_or_default();
        entries.into_iter().for_each(|entry| bundle.put(entry));
        bundle.to_set(quantity::RevisionNumber::default())?;
        self.print(&format!("{count} records are valid\n"));
        Ok(())
    }

    async fn apply(&mut self, args: &args::ApplyArgs) -> Result<(), outcome::CtlError> {
        let change = record_change::RecordChange::Put(files::read_all(&args.files)?);
        let options = record_change::ChangeOptions { base: args.base, rebase: args.rebase };
        self.change(&change, options, args.no_wait).await
    }

    async fn withdraw(&mut self, args: &args::WithdrawArgs) -> Result<(), outcome::CtlError> {
        let change = record_change::RecordChange::Withdraw(args.keys.clone());
        let options = record_change::ChangeOptions { base: args.base, rebase: args.rebase };
        self.change(&change, options, args.no_wait).await
    }

    async fn change(
        &mut self,
        change: &record_change::RecordChange,
        options: record_change::ChangeOptions,
        no_wait: bool,
    ) -> Result<(), outcome::CtlError> {
        let revision = self.store.change(change, options, &self.new_author()).await?;
        self.print_progress(&format!("revision {revision} is written\n"));
        if no_wait {
            self.print(&format!(
                "written as revision {revision}; not waiting until it is in force\n"
            ));
            return Ok(());
        }
        self.await_revision(revision).await?;
        self.print(&format!("revision {revision} is accepted: in force at every daemon\n"));
        Ok(())
    }

    async fn await_revision(
        &mut self,
        revision: quantity::RevisionNumber,
    ) -> Result<(), outcome::CtlError> {
        let progress = &mut *self.progress;
        let survey = survey::await_revision(
            &self.clients.daemon_client,
            &self.clients.cloud,
            &self.context.seeds,
            revision,
            self.context.wait,
            |zones| {
                let counts = zones
                    .iter()
                    .map(|zone| format!("{} {}/{}", zone.zone, zone.in_force, zone.daemons));
                let counts: Vec<String> = counts.collect();
                // A failure to print progress does not affect the command.
                let _ = writeln!(progress, "in force: {}", counts.join(", "));
            },
        )
        .await;
        let missing = survey.missing(revision);
        if survey.daemons.is_empty() {
            let missing = vec!["every daemon (none is listed)".to_owned()];
            return Err(outcome::CtlError::NotInForce { revision, missing });
        }
        if missing.is_empty() {
            return Ok(());
        }
        Err(outcome::CtlError::NotInForce { revision, missing })
    }

    async fn get(&mut self, args: &args::GetArgs) -> Result<(), outcome::CtlError> {
        let row = match args.revision {
            Some(revision) => Some(self.store.revision(revision).await?),
            None => self.store.current().await?.map(|current| current.row),
        };
        let revision = row.as_ref().map(|row| row.revision).unwrap_or_default();
        let bundle = row.map(|row| row.bundle()).unwrap_or_default();
        let entries: Vec<&entry::RecordEntry> = match &args.key {
            None => bundle.entries().collect(),
            Some(key) => match bundle.get(key) {
                Some(entry) => vec![entry],
                None => return Err(bundle::NotFoundError(key.clone()).into()),
            },
        };
        let text = render::records(self.context.format, revision, &entries);
        self.print(&text);
        Ok(())
    }

    async fn history(&mut self, args: &args::HistoryArgs) -> Result<(), outcome::CtlError> {
        let rows = self.store.history(args.limit).await?;
        let text = render::history(self.context.format, &rows);
        self.print(&text);
        Ok(())
    }

    async fn status(&mut self) -> Result<(), outcome::CtlError> {
        let written = match self.store.current().await {
            Ok(current) => Some(current.map(|current| current.row.revision).unwrap_or_default()),
            Err(_) => None,
        };
        let survey = self.survey().await;
        let views = views::collect(&self.clients.daemon_client, &survey).await?;
        let status = status::build(written, &survey, &views);
        let text = render::status(self.context.format, &status);
        self.print(&text);
        Ok(())
    }

    async fn survey(&self) -> survey::RevisionSurvey {
        // If the list can't be read, the survey starts from the seeds.
        let listed = self.clients.cloud.list_vms().await.unwrap_or_default();
        survey::survey(&self.clients.daemon_client, &listed, &self.context.seeds).await
    }

    async fn explain(&mut self, args: &args::ExplainArgs) -> Result<(), outcome::CtlError> {
        let request = explain::read(&args.file)?;
        let survey = self.survey().await;
        let views = views::collect(&self.clients.daemon_client, &survey).await?;
        let view = views::find(&views, request.zone.as_ref())?;
        let explanation = explain::explain(&request, view)?;
        let text = render::explanation(self.context.format, &explanation);
        self.print(&text);
        Ok(())
    }

    async fn plan(&mut self) -> Result<(), outcome::CtlError> {
        let listed = self.clients.cloud.list_vms().await?;
        let offers = self.clients.cloud.offers().await?;
        let survey =
            survey::survey(&self.clients.daemon_client, &listed, &self.context.seeds).await;
        let views = views::collect(&self.clients.daemon_client, &survey).await?;
        let newest = views.iter().max_by_key(|view| view.records.revision);
        let newest = newest.ok_or(outcome::CtlError::NoDaemonReachable)?;
        let replicas = status::merge_replicas(&views);
        let plan = plan::build(&newest.records, &replicas, &listed, &offers);
        let text = render::plan(self.context.format, &plan);
        self.print(&text);
        Ok(())
    }

    async fn drain(&mut self, args: &args::DrainArgs) -> Result<(), outcome::CtlError> {
        if !args.undo {
            let listed = self.clients.cloud.list_vms().await?;
            if !listed.iter().any(|entry| entry.id == args.vm) {
                return Err(outcome::CtlError::UnknownVm(args.vm.clone()));
            }
        }
        self.store.drain(&args.vm, args.undo, &self.new_author()).await?;
        let text = match args.undo {
            true => format!(
                "{}: the mark is removed; a VM that has left rejoins only after it is listed again\n",
                args.vm
            ),
            false => format!("{} is marked as leaving; see status\n", args.vm),
        };
        self.print(&text);
        Ok(())
    }

    fn new_author(&self) -> change::ChangeAuthor {
        let write_id = uuid::Uuid::now_v7().to_string();
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        change::ChangeAuthor {
            write_id: write_id.parse().expect("a UUID is an identifier"),
            name: self.context.author.clone(),
            written_at: since_epoch.unwrap_or_default().as_secs(),
        }
    }

    fn print(&mut self, text: &str) {
        // The write fails if the reader has closed the pipe; the output is then dropped.
        let _ = self.out.write_all(text.as_bytes());
    }

    fn print_progress(&mut self, text: &str) {
        // A failure to print progress does not affect the command.
        let _ = self.progress.write_all(text.as_bytes());
    }
}
