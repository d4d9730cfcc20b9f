//! Processes of a test: started with piped output, stopped by their id when dropped.

use anyhow::{Context as _, Result, bail};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt as _, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// A running program; it is killed when dropped.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start<S: AsRef<std::ffi::OsStr>>(
        program: &Path,
        args: impl IntoIterator<Item = S>,
    ) -> Result<Self> {
        Self::start_logged(program, args, Stdio::inherit())
    }

    /// Starts a program whose standard error goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_logged<S: AsRef<std::ffi::OsStr>>(
        program: &Path,
        args: impl IntoIterator<Item = S>,
        log: Stdio,
    ) -> Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("could not start {}", name(program)))?;
        let stdout = child.stdout.take().context("the program has no standard output")?;
        Ok(Self { child, lines: BufReader::new(stdout).lines() })
    }

    /// The next line on standard output.
    ///
    /// # Errors
    ///
    /// Fails when the program has ended.
    pub async fn line(&mut self) -> Result<String> {
        match self.lines.next_line().await? {
            Some(line) => Ok(line),
            None => bail!("the program ended: {}", self.child.wait().await?),
        }
    }

    /// Process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended or the signal cannot be sent.
    pub async fn terminate(&self) -> Result<()> {
        self.signal("TERM").await
    }

    /// Sends a signal by name, such as `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended or the signal cannot be sent.
    pub async fn signal(&self, signal: &str) -> Result<()> {
        let id = self.id().context("the process has ended")?;
        let status = Command::new("kill").args([&format!("-{signal}"), &id.to_string()]).status();
        if !status.await?.success() {
            bail!("could not send SIG{signal}");
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn kill(&mut self) -> Result<()> {
        self.child.kill().await.context("could not kill the process")
    }

    /// Waits for the end of the process and says whether it succeeded.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn wait(&mut self) -> Result<bool> {
        Ok(self.child.wait().await?.success())
    }
}

fn name(program: &Path) -> String {
    program.file_name().unwrap_or_default().to_string_lossy().into_owned()
}

/// The folder of built programs, found from the running program's own place.
///
/// # Errors
///
/// Fails when the running program's place is unknown.
pub fn program_folder() -> Result<PathBuf> {
    let mut dir = std::env::current_exe().context("could not find the running program")?;
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir)
}
