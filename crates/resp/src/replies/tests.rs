//! Tests of the reply reader: each form of a reply, malformed bytes, limits, and input that is split at any byte.

use super::*;

fn read_first(input: &[u8]) -> Result<Option<(Reply, usize)>, MalformedReply> {
    ReplyReader::default().read(input)
}

const SERVED: &[u8] = b"*3\r\n$5\r\nhello\r\n$1\r\n3\r\n$18\r\ninflight=7,queue=2\r\n";

fn served_reply() -> Reply {
    Reply::Served { value: 8..13, units: Some("3".into()), load_report: Some("inflight=7,queue=2".into()) }
}

#[test]
fn each_form_of_an_answer_is_read() {
    assert_eq!(read_first(SERVED), Ok(Some((served_reply(), SERVED.len()))));
    let bare = b"*3\r\n$0\r\n\r\n$-1\r\n*-1\r\n";
    let served = Reply::Served { value: 8..8, units: None, load_report: None };
    assert_eq!(read_first(bare), Ok(Some((served, bare.len()))));
    assert_eq!(read_first(b"-ERR failed\r\n"), Ok(Some((Reply::Failed { load_report: None }, 13))));
    let load_report = Some("queue=2".into());
    assert_eq!(read_first(b"-ERR failed queue=2\r\n"), Ok(Some((Reply::Failed { load_report }, 21))));
    assert_eq!(read_first(b"-BUSY\r\n"), Ok(Some((Reply::Busy { load_report: None }, 7))));
    assert_eq!(read_first(b"-BUSYBODY\r\n"), Ok(Some((Reply::Failed { load_report: None }, 11))));
    assert_eq!(read_first(b"+PONG\r\n"), Ok(Some((Reply::Pong, 7))));
    assert_eq!(read_first(b"$3\r\na=1\r\n"), Ok(Some((Reply::Bulk(4..7), 9))));
}

#[test]
fn units_that_are_not_text_are_ignored() {
    let bytes = b"*3\r\n$1\r\nv\r\n$4\r\n\xff\xfe\x00\x01\r\n$3\r\n???\r\n";
    let served = Reply::Served { value: 8..9, units: None, load_report: Some("???".into()) };
    assert_eq!(read_first(bytes), Ok(Some((served, bytes.len()))));
}

#[test]
fn malformed_answer_is_rejected() {
    let malformed: [&[u8]; 13] = [
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
    for bytes in malformed {
        assert_eq!(read_first(bytes), Err(MalformedReply), "{:?}", String::from_utf8_lossy(bytes));
    }
    let endless = [b"-ERR ".to_vec(), vec![b'x'; MAX_LINE_BYTES]].concat();
    assert_eq!(read_first(&endless), Err(MalformedReply), "a line that never ends");
    let endless = [&b"*3\r\n$1\r\nv\r\n+"[..], &vec![b'x'; MAX_TRAILING_ELEMENT_BYTES]].concat();
    assert_eq!(read_first(&endless), Err(MalformedReply), "an element after the value that never ends");
    // The length of the value is too large, so that it covers the elements after the value.
    assert_eq!(read_first(b"*3\r\n$12\r\nhello\r\n$-1\r\n$-1\r\n"), Err(MalformedReply));
}

#[test]
fn answer_split_at_any_byte_reads_the_same() {
    for all in [SERVED, b"-ERR failed queue=2\r\n", b"$3\r\na=1\r\n"] {
        let unsplit = read_first(all).unwrap().unwrap();
        for cut in 0..all.len() {
            let mut replies = ReplyReader::default();
            assert_eq!(replies.read(&all[..cut]), Ok(None), "cut at {cut}");
            assert_eq!(replies.read(all), Ok(Some(unsplit.clone())), "cut at {cut}");
        }
    }
}
