//! Error texts that the program prints.

use super::*;

fn connection_refused() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionRefused)
}

#[test]
fn load_errors_are_printed_with_the_file() {
    let unreadable = LoadError::ReadFile { path: "site.json".into(), source: connection_refused() };
    let invalid = LoadError::Config(ConfigError::NoClasses { file: "site.json".into() });
    let cases = [
        (LoadError::NoConfiguration, "no configuration: give --config FILE or set PROXY_CONFIG".to_owned()),
        (unreadable, format!("site.json: {}", connection_refused())),
        (invalid, "site.json: settings.classes is empty".to_owned()),
    ];
    for (error, text) in cases {
        assert_eq!(ProgramError::from(error).to_string(), text);
    }
}

#[test]
fn admin_call_errors_are_printed_with_the_address() {
    let address = || "127.0.0.1:1".to_owned();
    let cases = [
        (
            AdminCallError::InvalidAddress("x".into()),
            "--control \"x\" is not an address with a port".to_owned(),
        ),
        (
            AdminCallError::Connection { address: address(), source: connection_refused() },
            format!("127.0.0.1:1: {}", connection_refused()),
        ),
        (
            AdminCallError::Rejected { address: address(), reply: "error unknown call".into() },
            "127.0.0.1:1: error unknown call".to_owned(),
        ),
        (AdminCallError::NoReply { address: address() }, "127.0.0.1:1: no answer".to_owned()),
    ];
    for (error, text) in cases {
        assert_eq!(ProgramError::from(error).to_string(), text);
    }
}

#[test]
fn start_errors_are_printed_without_additions() {
    assert_eq!(
        ProgramError::from(StartError::NoLinkAddress).to_string(),
        "handover.links: no address for this scheduler's number"
    );
}
