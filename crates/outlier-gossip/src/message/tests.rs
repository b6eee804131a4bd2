use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn an_encoded_message_decodes_to_itself(
        token in any::<Option<u64>>(), nodes in prop::collection::vec(("[a-z]{0,9}", any::<u64>(), any::<bool>()), 0..9),
    ) {
        let message = match token {
            None => Message::Reports(nodes.into_iter().map(|(node, started, _)| FailureReport { node, started }).collect()),
            Some(token) => {
                let verdict = |(node, started, is_outlier)| Verdict { node, started, is_outlier, age_ms: started / 2, reporting_gateways: 3 };
                Message::Verdicts { token, verdicts: nodes.into_iter().map(verdict).collect() }
            }
        };
        prop_assert_eq!(decode(&encode(&message)), Some(message));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let _ = decode(&bytes);
    }
}
