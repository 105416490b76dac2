//! Client of a running scheduler's admin endpoint.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting and for each read. A running scheduler replies at once; one that takes longer is
/// stopped or unreachable.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// First line of a successful reply with rows.
const FIRST_LINE: &str = "done";
/// Last line of a successful reply with rows.
const LAST_LINE: &str = "end";

/// The reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminCallError {
    /// The address on the command line is not a socket address.
    #[error("--control {0:?} is not an address with a port")]
    InvalidAddress(String),
    /// The endpoint is unreachable, or the connection failed or timed out.
    #[error("{address}: {source}")]
    Connection {
        /// Address of the endpoint.
        address: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The endpoint rejected the call.
    #[error("{address}: {reply}")]
    Rejected {
        /// Address of the endpoint.
        address: String,
        /// The first line of its reply.
        reply: String,
    },
    /// The endpoint closed the connection without a reply.
    #[error("{address}: no answer")]
    NoReply {
        /// Address of the endpoint.
        address: String,
    },
}

/// Makes a call to the endpoint at `address` and returns the rows of its reply, one per line.
pub fn call(address: &str, call: &str) -> Result<Vec<String>, AdminCallError> {
    let endpoint = address.parse().map_err(|_| AdminCallError::InvalidAddress(address.to_owned()))?;
    let address = || address.to_owned();
    let reply = exchange(endpoint, call)
        .map_err(|source| AdminCallError::Connection { address: address(), source })?;
    let mut lines = reply.lines();
    match lines.next() {
        Some(FIRST_LINE) => Ok(lines.take_while(|&line| line != LAST_LINE).map(str::to_owned).collect()),
        Some(other) => Err(AdminCallError::Rejected { address: address(), reply: other.to_owned() }),
        None => Err(AdminCallError::NoReply { address: address() }),
    }
}

/// Sends a call and reads the reply until the endpoint closes the connection.
fn exchange(endpoint: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&endpoint, REPLY_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}
