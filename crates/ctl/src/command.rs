//! Runs commands.

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
use crate::show;
use crate::status;
use crate::store;
use crate::survey;
use crate::views;
use crate::wanted;

/// The outside world of the command line.
#[derive(Clone)]
pub struct CtlPorts {
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// The platform's cloud.
    pub cloud: sync::Arc<dyn cloud::CloudApi>,
    /// The control threads.
    pub asker: sync::Arc<dyn survey::DaemonAsker>,
}

/// What a command is run with.
#[derive(Clone, Debug)]
pub struct CommandContext {
    /// Name under which changes are written.
    pub author: sync::Arc<str>,
    /// Time in which a change is awaited everywhere.
    pub wait: time::Millis,
    /// Control addresses that are asked where the platform's list can't be read.
    pub seeds: Vec<net::SocketAddr>,
    /// Form of what is printed.
    pub form: args::OutputForm,
}

/// Runs commands and prints to `out`; progress goes to `progress`.
pub struct CommandRunner<'a> {
    ports: CtlPorts,
    context: CommandContext,
    store: store::RecordStore,
    out: &'a mut (dyn io::Write + Send),
    progress: &'a mut (dyn io::Write + Send),
}

impl<'a> CommandRunner<'a> {
    /// A runner that prints to these.
    pub fn new(
        ports: CtlPorts,
        context: CommandContext,
        out: &'a mut (dyn io::Write + Send),
        progress: &'a mut (dyn io::Write + Send),
    ) -> Self {
        let store = store::RecordStore::new(ports.table.clone());
        CommandRunner { ports, context, store, out, progress }
    }

    /// Runs a command.
    ///
    /// # Errors
    ///
    /// Says why the command was not done; the error has the exit code.
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
        self.print(&format!("{count} records hold together\n"));
        Ok(())
    }

    async fn apply(&mut self, args: &args::ApplyArgs) -> Result<(), outcome::CtlError> {
        let change = wanted::RecordChange::Put(files::read_all(&args.files)?);
        let rules = wanted::ChangeRules { base: args.base, rebase: args.rebase };
        self.change(&change, rules, args.no_wait).await
    }

    async fn withdraw(&mut self, args: &args::WithdrawArgs) -> Result<(), outcome::CtlError> {
        let change = wanted::RecordChange::Withdraw(args.keys.clone());
        let rules = wanted::ChangeRules { base: args.base, rebase: args.rebase };
        self.change(&change, rules, args.no_wait).await
    }

    async fn change(
        &mut self,
        change: &wanted::RecordChange,
        rules: wanted::ChangeRules,
        no_wait: bool,
    ) -> Result<(), outcome::CtlError> {
        let revision = self.store.change(change, rules, &self.new_author()).await?;
        self.note(&format!("revision {revision} is written\n"));
        if no_wait {
            self.print(&format!("written as revision {revision}; not awaited\n"));
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
            &self.ports.asker,
            &self.ports.cloud,
            &self.context.seeds,
            revision,
            self.context.wait,
            |zones| {
                let counts = zones
                    .iter()
                    .map(|zone| format!("{} {}/{}", zone.zone, zone.in_force, zone.daemons));
                let counts: Vec<String> = counts.collect();
                // Progress that can't be printed changes nothing.
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
        let text = show::records(self.context.form, revision, &entries);
        self.print(&text);
        Ok(())
    }

    async fn history(&mut self, args: &args::HistoryArgs) -> Result<(), outcome::CtlError> {
        let rows = self.store.history(args.limit).await?;
        let text = show::history(self.context.form, &rows);
        self.print(&text);
        Ok(())
    }

    async fn status(&mut self) -> Result<(), outcome::CtlError> {
        let written = match self.store.current().await {
            Ok(current) => Some(current.map(|current| current.row.revision).unwrap_or_default()),
            Err(_) => None,
        };
        let survey = self.survey().await;
        let views = views::gather(&self.ports.asker, &survey).await?;
        let status = status::make(written, &survey, &views);
        let text = show::status(self.context.form, &status);
        self.print(&text);
        Ok(())
    }

    async fn survey(&self) -> survey::RevisionSurvey {
        // Where the list can't be read, the seeds are asked.
        let listed = self.ports.cloud.list_vms().await.unwrap_or_default();
        survey::survey(&self.ports.asker, &listed, &self.context.seeds).await
    }

    async fn explain(&mut self, args: &args::ExplainArgs) -> Result<(), outcome::CtlError> {
        let request = explain::read(&args.file)?;
        let survey = self.survey().await;
        let views = views::gather(&self.ports.asker, &survey).await?;
        let view = views::find(&views, request.zone.as_ref())?;
        let explanation = explain::explain(&request, view)?;
        let text = show::explanation(self.context.form, &explanation);
        self.print(&text);
        Ok(())
    }

    async fn plan(&mut self) -> Result<(), outcome::CtlError> {
        let listed = self.ports.cloud.list_vms().await?;
        let offers = self.ports.cloud.offers().await?;
        let survey = survey::survey(&self.ports.asker, &listed, &self.context.seeds).await;
        let views = views::gather(&self.ports.asker, &survey).await?;
        let newest = views.iter().max_by_key(|view| view.records.revision);
        let newest = newest.ok_or(outcome::CtlError::NoDaemon)?;
        let replicas = status::newest_replicas(&views);
        let made = plan::make(&newest.records, &replicas, &listed, &offers);
        let text = show::plan(self.context.form, &made);
        self.print(&text);
        Ok(())
    }

    async fn drain(&mut self, args: &args::DrainArgs) -> Result<(), outcome::CtlError> {
        if !args.undo {
            let listed = self.ports.cloud.list_vms().await?;
            if !listed.iter().any(|entry| entry.id == args.vm) {
                return Err(outcome::CtlError::UnknownVm(args.vm.clone()));
            }
        }
        self.store.drain(&args.vm, args.undo, &self.new_author()).await?;
        let text = match args.undo {
            true => format!(
                "{}: the mark is taken back; a VM that left stays away until it is listed anew\n",
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
        // A reader that closed its end wants no more.
        let _ = self.out.write_all(text.as_bytes());
    }

    fn note(&mut self, text: &str) {
        // Progress that can't be printed changes nothing.
        let _ = self.progress.write_all(text.as_bytes());
    }
}
