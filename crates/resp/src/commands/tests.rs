//! Commands: what is read, what is refused, and any split of the input.

use super::*;

fn reader() -> Commands {
    Commands::new(CommandLimits { words: 5, word: 64 << 10, bytes: 70 << 10 })
}

fn one(input: &[u8]) -> Result<Option<Vec<Vec<u8>>>, Fault> {
    let found = reader().read(input)?;
    Ok(found.map(|(words, _)| words.into_iter().map(|w| input[w].to_vec()).collect()))
}

#[test]
fn words_stand_where_the_reader_says() {
    assert_eq!(one(b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n"), Ok(Some(vec![b"PING".to_vec(), Vec::new()])));
    let two = b"*1\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n";
    let mut commands = reader();
    let (_, took) = commands.read(two).unwrap().unwrap();
    assert_eq!(took, 14);
    let (words, took) = commands.read(&two[14..]).unwrap().unwrap();
    assert_eq!((words.len(), words[0].clone(), took), (1, 8..9, 11));
}

#[test]
fn each_fault_shows_at_its_line() {
    let faults: [(&[u8], Fault); 16] = [
        (b"PING\r\n", Fault::NoArray),
        (b"\x00", Fault::NoArray),
        (b"*0\r\n", Fault::Length),
        (b"*-1\r\n", Fault::Length),
        (b"*1x\r\n", Fault::Length),
        (b"*\r\n", Fault::Length),
        (b"*1\n", Fault::End),
        (b"*6\r\n", Fault::TooLarge),
        (b"*99999999999999999999\r\n", Fault::TooLarge),
        (b"*1111111111111111111111111111", Fault::Length),
        (b"*1\r\n:4\r\n", Fault::NoWord),
        (b"*1\r\n$-1\r\n", Fault::Length),
        (b"*1\r\n$+4\r\n", Fault::Length),
        (b"*1\r\n$60000000\r\n", Fault::TooLarge),
        (b"*2\r\n$65536\r\n", Fault::Length),
        (b"*1\r\n$4\r\nPINGS\r\n", Fault::End),
    ];
    for (bytes, fault) in faults {
        if bytes.starts_with(b"*2") {
            assert_eq!(one(bytes), Ok(None), "the largest word that may come");
        } else {
            assert_eq!(one(bytes), Err(fault), "{:?}", String::from_utf8_lossy(bytes));
        }
    }
    let many = b"*2\r\n$65536\r\n".iter().copied().chain(std::iter::repeat_n(b'x', 65536));
    let many: Vec<u8> = many.chain(*b"\r\n$9000\r\n").collect();
    assert_eq!(one(&many), Err(Fault::TooLarge), "all words together are bounded too");
}

#[test]
fn any_split_reads_the_same() {
    let all = b"*3\r\n$5\r\nQ.ASK\r\n$3\r\na\r\n\r\n$1\r\nb\r\n";
    for cut in 0..all.len() {
        let mut commands = reader();
        assert_eq!(commands.read(&all[..cut]), Ok(None), "cut at {cut}");
        assert_eq!(commands.is_midway(), cut >= 4);
        let (words, took) = commands.read(all).unwrap().unwrap();
        assert_eq!((words.len(), took), (3, all.len()), "cut at {cut}");
    }
}
