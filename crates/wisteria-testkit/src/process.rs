//! Child processes with piped standard output, killed when dropped.

use anyhow::{Context as _, Result, bail};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt as _, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a program with inherited standard error.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
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
    /// Fails if the program cannot be started.
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
            .with_context(|| format!("could not start {}", file_name(program)))?;
        let stdout = child.stdout.take().context("the program's standard output is not piped")?;
        Ok(Self { child, lines: BufReader::new(stdout).lines() })
    }

    /// Reads the next line of standard output.
    ///
    /// # Errors
    ///
    /// Fails if standard output is closed or cannot be read.
    pub async fn read_line(&mut self) -> Result<String> {
        match self.lines.next_line().await? {
            Some(line) => Ok(line),
            None => bail!(
                "the program exited before it printed another line: {}",
                self.child.wait().await?
            ),
        }
    }

    /// Process id; `None` once the exit status has been read.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited or the signal cannot be sent.
    pub async fn terminate(&self) -> Result<()> {
        self.signal("TERM").await
    }

    /// Sends a signal by its name without `SIG`, such as `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited or the signal cannot be sent.
    pub async fn signal(&self, signal: &str) -> Result<()> {
        let id = self.id().context("the process has exited")?;
        let status = Command::new("kill").args([&format!("-{signal}"), &id.to_string()]).status();
        if !status.await?.success() {
            bail!("could not send SIG{signal}");
        }
        Ok(())
    }

    /// Kills the process with SIGKILL and waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails if waiting for the process fails.
    pub async fn kill(&mut self) -> Result<()> {
        self.child.kill().await.context("could not kill the process")
    }

    /// Waits until the process exits; true if its exit status is zero.
    ///
    /// # Errors
    ///
    /// Fails if waiting for the process fails.
    pub async fn wait(&mut self) -> Result<bool> {
        Ok(self.child.wait().await?.success())
    }
}

fn file_name(program: &Path) -> String {
    program.file_name().unwrap_or_default().to_string_lossy().into_owned()
}

/// The folder of built programs, derived from the path of the running program.
///
/// # Errors
///
/// Fails if the path of the running program is unknown.
pub fn program_folder() -> Result<PathBuf> {
    let mut dir =
        std::env::current_exe().context("could not determine the path of the running program")?;
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir)
}
