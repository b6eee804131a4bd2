//! Property tests of the command and reply readers with arbitrary input that is split at arbitrary bytes: they do not
//! panic, return the same result for every split, and need no more input to be buffered than the limits allow.

use doorcourse_resp::{
    CommandError, CommandLimits, CommandReader, MalformedReply, Reply, ReplyReader, encode_command,
};
use proptest::collection::vec;
use proptest::prelude::*;

const LIMITS: CommandLimits = CommandLimits { arguments: 6, argument_bytes: 512, bytes: 1024 };

/// Reads all commands in `bytes`, which arrive in pieces as from a connection.
fn read_commands(bytes: &[u8], cuts: &[usize]) -> (Vec<Vec<Vec<u8>>>, Option<CommandError>) {
    let mut reader = CommandReader::new(LIMITS);
    let mut unconsumed = Vec::new();
    let mut commands = Vec::new();
    let mut ends: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    ends.sort_unstable();
    ends.push(bytes.len());
    let mut from = 0;
    for end in ends {
        unconsumed.extend_from_slice(&bytes[from..end]);
        from = end;
        loop {
            match reader.read(&unconsumed) {
                Ok(None) => break,
                Ok(Some((arguments, consumed))) => {
                    commands.push(arguments.into_iter().map(|range| unconsumed[range].to_vec()).collect());
                    unconsumed.drain(..consumed);
                }
                Err(error) => return (commands, Some(error)),
            }
        }
        // Beside the arguments: their headers and line ends, the piece that has just arrived, and the array header.
        assert!(unconsumed.len() <= LIMITS.bytes + 6 * 30 + (end - from) + 64 || end == bytes.len());
    }
    (commands, None)
}

fn read_reply(bytes: &[u8], cut: usize) -> Result<Option<(Reply, usize)>, MalformedReply> {
    let mut reader = ReplyReader::default();
    match reader.read(&bytes[..cut.min(bytes.len())]) {
        Ok(None) => reader.read(bytes),
        other => other,
    }
}

/// Bytes that consist mostly of valid RESP elements.
fn resp_like() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"*3\r\n".to_vec()),
        Just(b"$3\r\nabc\r\n".to_vec()),
        Just(b"$-1\r\n".to_vec()),
        Just(b"-BUSY\r\n".to_vec()),
        Just(b"-ERR failed queue=1\r\n".to_vec()),
        Just(b"$0\r\n\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        vec(any::<u8>(), 0..12),
        (0u64..100_000).prop_map(|n| format!("${n}\r\n").into_bytes()),
    ];
    vec(piece, 0..12).prop_map(|p| p.concat())
}

proptest! {
    #[test]
    fn commands_read_the_same_for_any_split(
        all in vec(vec(vec(any::<u8>(), 0..40), 1..6), 0..8), noise in vec(any::<u8>(), 0..40),
        cuts in vec(any::<usize>(), 0..20),
    ) {
        let mut bytes = Vec::new();
        for arguments in &all {
            bytes.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
            for argument in arguments {
                bytes.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
                bytes.extend_from_slice(argument);
                bytes.extend_from_slice(b"\r\n");
            }
        }
        prop_assert_eq!(read_commands(&bytes, &cuts), (all.clone(), None));
        bytes.extend_from_slice(&noise);
        let unsplit = read_commands(&bytes, &[]);
        let split = read_commands(&bytes, &cuts);
        prop_assert_eq!(&unsplit, &split);
        prop_assert!(unsplit.0.starts_with(&all));
    }

    #[test]
    fn arbitrary_bytes_read_the_same_for_any_split(bytes in resp_like(), cuts in vec(any::<usize>(), 0..20)) {
        prop_assert_eq!(read_commands(&bytes, &[]), read_commands(&bytes, &cuts));
        let unsplit = ReplyReader::default().read(&bytes);
        for cut in 0..=bytes.len() {
            prop_assert_eq!(&read_reply(&bytes, cut), &unsplit);
        }
    }

    #[test]
    fn encoded_command_is_read_back(arguments in vec("[a-z0-9=,.]{0,40}", 1..6)) {
        let refs: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let mut bytes = Vec::new();
        encode_command(&mut bytes, &refs);
        let expected: Vec<Vec<u8>> = arguments.iter().map(|argument| argument.clone().into_bytes()).collect();
        prop_assert_eq!(read_commands(&bytes, &[]), (vec![expected], None));
    }
}
