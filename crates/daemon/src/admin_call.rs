//! Calls at a running scheduler's admin endpoint.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A running scheduler answers at once; longer means that it is stopped or gone.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// First line of a successful reply with rows.
const SUCCESS: &str = "done";
/// Last line of such a reply.
const END: &str = "end";

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminCallError {
    /// The command line's address is not a socket address.
    #[error("--control {0:?} is not an address with a port")]
    InvalidAddress(String),
    /// The endpoint can't be reached, or the connection failed.
    #[error("{address}: {source}")]
    Connection {
        /// The endpoint.
        address: String,
        /// The system's error.
        source: io::Error,
    },
    /// The endpoint rejected the call.
    #[error("{address}: {reply}")]
    Rejected {
        /// The endpoint.
        address: String,
        /// The first line of its reply.
        reply: String,
    },
    /// The endpoint closed the connection without a reply.
    #[error("{address}: no answer")]
    NoReply {
        /// The endpoint.
        address: String,
    },
}

/// Makes a call at the endpoint of this address; returns the rows of its reply, one of each line.
pub fn call(address: &str, call: &str) -> Result<Vec<String>, AdminCallError> {
    let endpoint = address.parse().map_err(|_| AdminCallError::InvalidAddress(address.to_owned()))?;
    let address = || address.to_owned();
    let reply = exchange(endpoint, call)
        .map_err(|source| AdminCallError::Connection { address: address(), source })?;
    let mut lines = reply.lines();
    match lines.next() {
        Some(SUCCESS) => Ok(lines.take_while(|&line| line != END).map(str::to_owned).collect()),
        Some(other) => Err(AdminCallError::Rejected { address: address(), reply: other.to_owned() }),
        None => Err(AdminCallError::NoReply { address: address() }),
    }
}

/// Sends a call and reads all of the reply.
fn exchange(endpoint: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&endpoint, REPLY_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}
