//! Tests of the command reader: valid commands, malformed and oversized ones, and input that is split at any byte.

use super::*;

fn reader() -> CommandReader {
    CommandReader::new(CommandLimits { arguments: 5, argument_bytes: 64 << 10, bytes: 70 << 10 })
}

fn read_arguments(input: &[u8]) -> Result<Option<Vec<Vec<u8>>>, CommandError> {
    let found = reader().read(input)?;
    Ok(found.map(|(arguments, _)| arguments.into_iter().map(|range| input[range].to_vec()).collect()))
}

#[test]
fn arguments_are_the_ranges_of_the_input_that_hold_their_bytes() {
    assert_eq!(
        read_arguments(b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n"),
        Ok(Some(vec![b"PING".to_vec(), Vec::new()]))
    );
    let two = b"*1\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n";
    let mut commands = reader();
    let (_, consumed) = commands.read(two).unwrap().unwrap();
    assert_eq!(consumed, 14);
    let (arguments, consumed) = commands.read(&two[14..]).unwrap().unwrap();
    assert_eq!((arguments.len(), arguments[0].clone(), consumed), (1, 8..9, 11));
}

#[test]
fn malformed_or_oversized_command_is_rejected() {
    let malformed: [(&[u8], CommandError); 15] = [
        (b"PING\r\n", CommandError::ExpectedArray),
        (b"\x00", CommandError::ExpectedArray),
        (b"*0\r\n", CommandError::InvalidLength),
        (b"*-1\r\n", CommandError::InvalidLength),
        (b"*1x\r\n", CommandError::InvalidLength),
        (b"*\r\n", CommandError::InvalidLength),
        (b"*1\n", CommandError::MissingLineEnd),
        (b"*6\r\n", CommandError::TooLarge),
        (b"*99999999999999999999\r\n", CommandError::TooLarge),
        (b"*1111111111111111111111111111", CommandError::InvalidLength),
        (b"*1\r\n:4\r\n", CommandError::ExpectedBulkString),
        (b"*1\r\n$-1\r\n", CommandError::InvalidLength),
        (b"*1\r\n$+4\r\n", CommandError::InvalidLength),
        (b"*1\r\n$60000000\r\n", CommandError::TooLarge),
        (b"*1\r\n$4\r\nPINGS\r\n", CommandError::MissingLineEnd),
    ];
    for (bytes, error) in malformed {
        assert_eq!(read_arguments(bytes), Err(error), "{:?}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(read_arguments(b"*2\r\n$65536\r\n"), Ok(None), "the longest argument that is allowed");
    let longest = b"*2\r\n$65536\r\n".iter().copied().chain(std::iter::repeat_n(b'x', 65536));
    let two_arguments: Vec<u8> = longest.chain(*b"\r\n$9000\r\n").collect();
    assert_eq!(
        read_arguments(&two_arguments),
        Err(CommandError::TooLarge),
        "the sum of all arguments is limited too"
    );
}

#[test]
fn command_split_at_any_byte_reads_the_same() {
    let all = b"*3\r\n$5\r\nQ.ASK\r\n$3\r\na\r\n\r\n$1\r\nb\r\n";
    for cut in 0..all.len() {
        let mut commands = reader();
        assert_eq!(commands.read(&all[..cut]), Ok(None), "cut at {cut}");
        assert_eq!(commands.is_partial(), cut >= 4);
        let (arguments, consumed) = commands.read(all).unwrap().unwrap();
        assert_eq!((arguments.len(), consumed), (3, all.len()), "cut at {cut}");
    }
}

#[test]
fn command_discarded_from_any_byte_ends_where_it_ends_when_read() {
    let command = b"*3\r\n$5\r\nQ.ASK\r\n$3\r\na\r\n\r\n$1\r\nb\r\n";
    let next = b"*1\r\n$4\r\nPING\r\n";
    let all = [&command[..], next].concat();
    for begin in 4..command.len() {
        for piece in 1..=all.len() {
            let mut commands = reader();
            assert_eq!(commands.read(&all[..begin]), Ok(None));
            let mut unconsumed = all[..begin].to_vec();
            let mut arrived = begin;
            loop {
                let discarded = commands.discard(&unconsumed).unwrap();
                unconsumed.drain(..discarded.consumed);
                if discarded.is_complete {
                    break;
                }
                assert!(unconsumed.len() < MAX_HEADER_LINE_BYTES, "{begin}, {piece}: {unconsumed:?}");
                let end = (arrived + piece).min(all.len());
                unconsumed.extend_from_slice(&all[arrived..end]);
                arrived = end;
            }
            unconsumed.extend_from_slice(&all[arrived..]);
            assert_eq!(commands.read(&unconsumed).unwrap().unwrap().1, next.len(), "{begin}, {piece}");
        }
    }
}

#[test]
fn malformed_command_is_malformed_while_it_is_discarded() {
    let mut commands = reader();
    assert_eq!(commands.read(b"*2\r\n$4\r\nPI"), Ok(None));
    let discarded = commands.discard(b"*2\r\n$4\r\nPI").unwrap();
    assert_eq!(discarded, DiscardedCommand { consumed: 10, is_complete: false });
    assert_eq!(commands.discard(b"NGS\r\n"), Err(CommandError::MissingLineEnd));
}
