use super::*;

#[test]
fn lists_of_the_page_and_faults_by_name() {
    let line = |health: &str, dial: &str| {
        format!(
            r#"{{"seq":41,"whole":true,"hosts":[{{"host":"s-1","dial":"{dial}","site":"a","class":"m2",
            "block":3,"health":"{health}","share":1.0,"born_ms":0}}]}}"#
        )
    };
    let list = Members::read(line("active", "10.1.0.18:6379").as_bytes()).unwrap();
    assert_eq!((list.seq, list.whole, list.members.len()), (41, true, 1));
    assert_eq!((list.members[0].entry.cell, list.members[0].entry.started), (3, None));
    assert!(Members::read(line("left", "").as_bytes()).is_ok());
    assert!(Members::read(line("active", "").as_bytes()).unwrap_err().contains("dial"));
    assert!(Members::read(line("odd", "10.1.0.18:6379").as_bytes()).unwrap_err().contains("odd"));
    assert!(Members::read(b"{\"seq\":4").is_err());
}

/// A list of so many hosts, as one line or indented.
fn listed(hosts: usize, indented: bool) -> String {
    let host = |n: usize| {
        serde_json::json!({"host": format!("s-{n:08x}-of-a-long-name"), "dial": format!("10.1.{}.{}:6379", n / 250, n % 250),
            "site": "south-building", "class": "m2", "block": n, "health": "active", "share": 1.0,
            "born_ms": 1_790_000_000_000_u64})
    };
    let list =
        serde_json::json!({"seq": 7, "whole": true, "hosts": (0..hosts).map(host).collect::<Vec<_>>()});
    if indented { format!("{list:#}") } else { list.to_string() }
}

#[test]
fn a_thousand_backends_whole_and_indented_and_the_lists_of_a_watch_one_by_one() {
    for indented in [false, true] {
        let text = listed(1024, indented);
        assert!(text.len() < 1 << 20, "{} bytes: a line of the watch holds it", text.len());
        let list = Members::read(text.as_bytes()).unwrap();
        assert_eq!(list.members.len(), 1024);
        // Whatever part of it has come: not yet, and no fault.
        for part in [1, 2, text.len() / 3, text.len() - 1] {
            assert!(Members::read_first(&text.as_bytes()[..part]).unwrap().is_none(), "{part}");
        }
        let both = format!("{text}\n{}", listed(3, indented));
        let (first, took) = Members::read_first(both.as_bytes()).unwrap().unwrap();
        assert_eq!((first.members.len(), took), (1024, text.len()));
        let (second, _) = Members::read_first(&both.as_bytes()[took..]).unwrap().unwrap();
        assert_eq!(second.members.len(), 3);
        // Cut short, with the beat of the watch behind it; and followed by another.
        assert!(Members::read_first(format!("{}\n\n", &text[..text.len() / 2]).as_bytes()).is_err());
        assert!(Members::read_first(format!("{}\n{text}", &text[..text.len() / 2]).as_bytes()).is_err());
    }
}
