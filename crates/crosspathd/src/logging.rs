//! Logs on standard output, one line for each event, that never hold the daemon up.
//!
//! A reader that does not keep up costs lines, not time: a line that cannot be written at once is
//! dropped, and the next one that can tells how many were.

use std::io;
use std::os::fd::AsFd as _;

use env_logger::{Builder, Env, Target};
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, OFlag, fcntl};

/// Starts logging as `RUST_LOG` says, from `info` on where it says nothing.
pub(crate) fn start() {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    if let Err(error) = make_non_blocking() {
        builder.target(Target::Stdout).init();
        log::warn!("event=logs_may_block error=\"{error}\"");
        return;
    }
    builder.target(Target::Pipe(Box::new(LossyWriter::default()))).init();
}

fn make_non_blocking() -> Result<(), Errno> {
    let stdout = io::stdout();
    let flags = OFlag::from_bits_truncate(fcntl(stdout.as_fd(), FcntlArg::F_GETFL)?);
    fcntl(stdout.as_fd(), FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK)).map(drop)
}

/// Writes whole lines, or none of a line.
#[derive(Debug, Default)]
struct LossyWriter {
    dropped: u64,
}

impl LossyWriter {
    fn report_dropped(&mut self) {
        let line = format!("event=log_lines_dropped count={}\n", self.dropped);
        if nix::unistd::write(io::stdout().as_fd(), line.as_bytes()).is_ok() {
            self.dropped = 0;
        }
    }
}

impl io::Write for LossyWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped > 0 {
            self.report_dropped();
        }
        // A pipe takes lines of this length whole or not at all. There is nowhere to tell of a
        // standard output that is gone.
        if nix::unistd::write(io::stdout().as_fd(), line).is_err() {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
