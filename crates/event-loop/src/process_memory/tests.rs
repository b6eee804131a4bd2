use super::*;

#[test]
fn memory_of_a_status_text() {
    let text = "Name:\tdoorcourse\nVmHWM:\t    5048 kB\nVmRSS:\t    4100 kB\nThreads:\t1\n";
    assert_eq!(parse_status(text), Some(ProcessMemory { resident: 4100 << 10, peak: 5048 << 10 }));
    assert_eq!(parse_status("Name:\tdoorcourse\nVmRSS:\tmuch\n"), None);
}

#[test]
fn memory_of_this_process() {
    let memory = process_memory().unwrap();
    assert!(memory.resident > 0 && memory.peak >= memory.resident, "{memory:?}");
}
