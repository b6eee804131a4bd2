//! Answers: each form, malformed bytes, limits, and any split of the input.

use super::*;

fn one(input: &[u8]) -> Result<Option<(Answer, usize)>, Spoilt> {
    Answers::default().read(input)
}

const GOOD: &[u8] = b"*3\r\n$5\r\nhello\r\n$1\r\n3\r\n$18\r\ninflight=7,queue=2\r\n";

fn good() -> Answer {
    Answer::Served { value: 8..13, used: Some("3".into()), report: Some("inflight=7,queue=2".into()) }
}

#[test]
fn each_row_of_the_page() {
    assert_eq!(one(GOOD), Ok(Some((good(), GOOD.len()))));
    let bare = b"*3\r\n$0\r\n\r\n$-1\r\n*-1\r\n";
    let served = Answer::Served { value: 8..8, used: None, report: None };
    assert_eq!(one(bare), Ok(Some((served, bare.len()))));
    assert_eq!(one(b"-ERR failed\r\n"), Ok(Some((Answer::Failed { report: None }, 13))));
    let report = Some("queue=2".into());
    assert_eq!(one(b"-ERR failed queue=2\r\n"), Ok(Some((Answer::Failed { report }, 21))));
    assert_eq!(one(b"-BUSY\r\n"), Ok(Some((Answer::Busy { report: None }, 7))));
    assert_eq!(one(b"-BUSYBODY\r\n"), Ok(Some((Answer::Failed { report: None }, 11))));
    assert_eq!(one(b"+PONG\r\n"), Ok(Some((Answer::Pong, 7))));
    assert_eq!(one(b"$3\r\na=1\r\n"), Ok(Some((Answer::Bulk(4..7), 9))));
}

#[test]
fn a_report_that_cannot_be_read_spoils_only_itself() {
    let bytes = b"*3\r\n$1\r\nv\r\n$4\r\n\xff\xfe\x00\x01\r\n$3\r\n???\r\n";
    let served = Answer::Served { value: 8..9, used: None, report: Some("???".into()) };
    assert_eq!(one(bytes), Ok(Some((served, bytes.len()))));
}

#[test]
fn spoilt_answers_serve_nothing() {
    let spoilt: [&[u8]; 13] = [
        b"\x00\x7f\xff noise",
        b"hello\r\n",
        b"+OK\r\n",
        b"*3\r\n$3000000000\r\nxxxx",
        b"*3\r\n$65537\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*-1\r\n",
        b"$-1\r\n",
        b"*2\r\n$1\r\nv\r\n$-1\r\n",
        b"*3\r\n$3\r\nhello\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$5\r\nhello\r\nnoise\r\n",
        b"*3\r\n$x\r\n",
        b"-ERR failed\n",
    ];
    for bytes in spoilt {
        assert_eq!(one(bytes), Err(Spoilt), "{:?}", String::from_utf8_lossy(bytes));
    }
    let endless = [b"-ERR ".to_vec(), vec![b'x'; REST]].concat();
    assert_eq!(one(&endless), Err(Spoilt), "a line that never ends");
    let endless = [&b"*3\r\n$1\r\nv\r\n+"[..], &vec![b'x'; REST]].concat();
    assert_eq!(one(&endless), Err(Spoilt), "nor does what stands behind a value");
    // A length that does not fit and so swallows what follows is no shorter value.
    assert_eq!(one(b"*3\r\n$12\r\nhello\r\n$-1\r\n$-1\r\n"), Err(Spoilt));
}

#[test]
fn any_split_reads_the_same() {
    for all in [GOOD, b"-ERR failed queue=2\r\n", b"$3\r\na=1\r\n"] {
        let whole = one(all).unwrap().unwrap();
        for cut in 0..all.len() {
            let mut answers = Answers::default();
            assert_eq!(answers.read(&all[..cut]), Ok(None), "cut at {cut}");
            assert_eq!(answers.read(all), Ok(Some(whole.clone())), "cut at {cut}");
        }
    }
}
