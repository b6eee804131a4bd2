//! The readers of commands and answers under any input and any split: no panic, the same result however the bytes are cut,
//! and no more kept than the bounds allow.

use doorcourse_resp::{Answer, Answers, CommandLimits, Commands, Fault, Spoilt, command};
use proptest::collection::vec;
use proptest::prelude::*;

const LIMITS: CommandLimits = CommandLimits { words: 6, word: 512, bytes: 1024 };

/// All commands in the bytes, given piece by piece as a connection would.
fn commands(bytes: &[u8], cuts: &[usize]) -> (Vec<Vec<Vec<u8>>>, Option<Fault>) {
    let (mut reader, mut held, mut found) = (Commands::new(LIMITS), Vec::new(), Vec::new());
    let mut ends: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    ends.sort_unstable();
    ends.push(bytes.len());
    let mut from = 0;
    for end in ends {
        held.extend_from_slice(&bytes[from..end]);
        from = end;
        loop {
            match reader.read(&held) {
                Ok(None) => break,
                Ok(Some((words, took))) => {
                    found.push(words.into_iter().map(|w| held[w].to_vec()).collect());
                    held.drain(..took);
                }
                Err(fault) => return (found, Some(fault)),
            }
        }
        assert!(held.len() <= LIMITS.bytes + 6 * 30 + (end - from) + 64 || end == bytes.len());
    }
    (found, None)
}

fn answer(bytes: &[u8], cut: usize) -> Result<Option<(Answer, usize)>, Spoilt> {
    let mut reader = Answers::default();
    match reader.read(&bytes[..cut.min(bytes.len())]) {
        Ok(None) => reader.read(bytes),
        other => other,
    }
}

/// Bytes that look like RESP for a while.
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
    fn commands_read_the_same_however_they_are_cut(
        all in vec(vec(vec(any::<u8>(), 0..40), 1..6), 0..8), noise in vec(any::<u8>(), 0..40),
        cuts in vec(any::<usize>(), 0..20),
    ) {
        let mut bytes = Vec::new();
        for words in &all {
            bytes.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
            for word in words {
                bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
                bytes.extend_from_slice(word);
                bytes.extend_from_slice(b"\r\n");
            }
        }
        prop_assert_eq!(commands(&bytes, &cuts), (all.clone(), None));
        bytes.extend_from_slice(&noise);
        let (whole, cut) = (commands(&bytes, &[]), commands(&bytes, &cuts));
        prop_assert_eq!(&whole, &cut);
        prop_assert!(whole.0.starts_with(&all));
    }

    #[test]
    fn anything_reads_the_same_however_it_is_cut(bytes in resp_like(), cuts in vec(any::<usize>(), 0..20)) {
        prop_assert_eq!(commands(&bytes, &[]), commands(&bytes, &cuts));
        let whole = Answers::default().read(&bytes);
        for cut in 0..=bytes.len() {
            prop_assert_eq!(&answer(&bytes, cut), &whole);
        }
    }

    #[test]
    fn what_was_written_is_read(words in vec("[a-z0-9=,.]{0,40}", 1..6)) {
        let refs: Vec<&str> = words.iter().map(String::as_str).collect();
        let mut bytes = Vec::new();
        command(&mut bytes, &refs);
        let wanted: Vec<Vec<u8>> = words.iter().map(|w| w.clone().into_bytes()).collect();
        prop_assert_eq!(commands(&bytes, &[]), (vec![wanted], None));
    }
}
