//! Headers of requests that one instance relays to another.

use std::net::{IpAddr, Ipv4Addr};

use basilramp_wire::relay::{Basis, Client, Request, remove_headers};
use http::{HeaderMap, header};

fn request(account: &str) -> Request {
    Request {
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        attempts: 2,
        basis: Some(Basis {
            config_version: 7,
            is_repeatable: true,
            possibly_ran: 1,
        }),
        client: Some(Client {
            account: account.into(),
            key: "00ff".into(),
            version: 7,
        }),
    }
}

/// Guards against an account whose relayed requests are rejected for its name.
#[test]
fn relayed_accounts_are_read_as_they_were_written() {
    for account in ["alpha", "Größe", "顧客", "a, b", "a\tb"] {
        let sent = request(account);
        let mut headers = HeaderMap::new();
        sent.insert_into(&mut headers);
        assert_eq!(Request::try_from(&headers), Ok(sent), "{account}");
    }
}

/// A build without accounts removes the headers that `Connection` names, and forwards others that it does
/// not know to upstreams. Guards against the digest of a key at an upstream.
#[test]
fn connection_names_the_headers_that_an_older_build_would_forward() {
    let mut headers = HeaderMap::new();
    request("alpha").insert_into(&mut headers);
    let named = headers[header::CONNECTION].to_str().unwrap();
    let named: Vec<_> = named.split(", ").collect();
    assert_eq!(named, ["relay-account", "relay-key", "relay-version"]);
    remove_headers(&mut headers);
    headers.remove(header::CONNECTION);
    assert!(headers.is_empty(), "{headers:?}");
}

/// A caller may send these headers to an instance of a build without accounts, which relays them. It
/// removes `Connection`. Guards against a caller that names an account without its key.
#[test]
fn accounts_that_the_relaying_instance_did_not_set_are_ignored() {
    let mut headers = HeaderMap::new();
    request("alpha").insert_into(&mut headers);
    headers.remove(header::CONNECTION);
    assert_eq!(Request::try_from(&headers).unwrap().client, None);
    headers.insert(header::CONNECTION, "keep-alive".parse().unwrap());
    assert_eq!(Request::try_from(&headers).unwrap().client, None);
}

/// A request of which a part of the account is missing is treated like one without a key.
#[test]
fn incomplete_accounts_are_ignored() {
    for missing in ["relay-account", "relay-key", "relay-version"] {
        let mut headers = HeaderMap::new();
        request("alpha").insert_into(&mut headers);
        headers.remove(missing);
        let read = Request::try_from(&headers).unwrap();
        assert_eq!(read.client, None, "{missing}");
    }
}
