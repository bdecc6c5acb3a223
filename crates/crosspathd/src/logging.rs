//! Non-blocking logging to standard output, one line for each event.
//!
//! A slow reader must not delay the daemon. A line that cannot be written immediately is dropped,
//! and the number of dropped lines is logged before the next line that can be written.

use std::io;
use std::os::fd::AsFd as _;

use env_logger::{Builder, Env, Target};
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, OFlag, fcntl};

/// Starts logging with the filter in `RUST_LOG`, or at level `info` if that is not set.
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

/// Writes each line completely or drops it.
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
        // A pipe accepts a line of this length completely or not at all. If standard output is
        // closed, there is nowhere to report that.
        if nix::unistd::write(io::stdout().as_fd(), line).is_err() {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
