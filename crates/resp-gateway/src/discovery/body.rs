//! Decodes the responses of the discovery service into endpoint lists.

use super::{DiscoveryClient, DiscoveryError};
use crate::endpoints::EndpointList;
use doorcourse::Millis;
use doorcourse_http::{Decoder, Part};

/// Maximum bytes that are buffered of a list, of a watch or complete; enough for thousands of backends.
const MAX_LIST_BYTES: usize = 1 << 20;

/// The result of decoding the input received of a response.
pub(super) struct DecodedResponse {
    /// Bytes of the input that were consumed.
    pub consumed: usize,
    /// Whether the response has ended.
    pub is_ended: bool,
    pub result: Result<(), DiscoveryError>,
}

impl DiscoveryClient {
    /// Decodes the input received of a response. Complete lists of a watch are appended to `lists`.
    pub(super) fn decode(
        &mut self, now: Millis, decoder: &mut Decoder, input: &[u8], lists: &mut Vec<EndpointList>,
    ) -> DecodedResponse {
        let mut decoded = DecodedResponse { consumed: 0, is_ended: false, result: Ok(()) };
        while decoded.result.is_ok() && !decoded.is_ended {
            let (length, part) = match decoder.decode(&input[decoded.consumed..]) {
                Ok(next) => next,
                Err(error) => {
                    decoded.result = Err(DiscoveryError::Http(error.to_string()));
                    break;
                }
            };
            decoded.consumed += length;
            match part {
                None => break,
                Some(Part::Head(head)) if head.status != 200 => {
                    decoded.result = Err(DiscoveryError::Status(head.status));
                }
                Some(Part::Head(_)) => {
                    // The current request is answered: the response to the superseded one is not needed any more.
                    self.watch.response_started();
                    self.superseded = None;
                }
                Some(Part::Data(bytes)) => decoded.result = self.receive_body(now, bytes, lists),
                Some(Part::End) => decoded.is_ended = true,
            }
        }
        decoded
    }

    fn receive_body(
        &mut self, now: Millis, bytes: &[u8], lists: &mut Vec<EndpointList>,
    ) -> Result<(), DiscoveryError> {
        let has_line_end = bytes.contains(&b'\n');
        self.body.extend_from_slice(bytes);
        let mut result = Ok(());
        // Each list of a watch ends at a line end. Parsing only then avoids parsing the same incomplete list again for
        // every part of a line.
        if self.is_watching && has_line_end {
            let lists_before = lists.len();
            result = self.apply_watched_lists(lists);
            // Lines of an incomplete list do not extend the timeout: they might arrive for ever without completing it.
            if lists.len() > lists_before || self.body.is_empty() {
                self.watch.message_received(now);
            }
        }
        if self.body.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::LineTooLong);
        }
        result
    }

    /// Applies the lists of a watch that have been received completely, and keeps the rest of the body.
    fn apply_watched_lists(&mut self, lists: &mut Vec<EndpointList>) -> Result<(), DiscoveryError> {
        let body = std::mem::take(&mut self.body);
        let mut consumed = 0;
        let result = loop {
            consumed += body[consumed..].iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            match EndpointList::read_first(&body[consumed..]) {
                Ok(None) => break Ok(()),
                Ok(Some((list, length))) => {
                    consumed += length;
                    if let Err(error) = self.apply(list, lists) {
                        break Err(error);
                    }
                }
                Err(error) => break Err(error.into()),
            }
        };
        self.body = body[consumed..].to_vec();
        result
    }

    /// Applies the complete list that was requested.
    pub(super) fn apply_complete_list(
        &mut self, lists: &mut Vec<EndpointList>,
    ) -> Result<(), DiscoveryError> {
        let body = std::mem::take(&mut self.body);
        self.apply(EndpointList::read(&body)?, lists)
    }

    fn apply(&mut self, list: EndpointList, lists: &mut Vec<EndpointList>) -> Result<(), DiscoveryError> {
        let is_available_again =
            self.watch.apply_version(list.version, list.complete).map_err(DiscoveryError::Version)?;
        if is_available_again {
            tracing::info!(target: "doorcourse::discovery", version = list.version, "discovery up");
        }
        lists.push(list);
        Ok(())
    }
}
