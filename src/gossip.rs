//! Messages between gateways: admit probabilities of sampled quotas.

use crate::Gateway;

/// The index of the byte that holds the probability; the bytes before it hold the hash.
const PROBABILITY_BYTE: usize = 7;
/// What the probability 1 is encoded as.
const PROBABILITY_SCALE: f64 = 255.0;

/// A gossip message: eight bytes, seven of the customer's hash (little-endian) and one of the probability.
pub(crate) struct AdmitReport {
    /// The customer's name as a hash of 56 bits.
    pub name_hash: u64,
    /// The admit probability, 0 to 1.
    pub probability: f64,
}

impl AdmitReport {
    /// The message's bytes; the probability is rounded down to a multiple of 1/255.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = self.name_hash.to_le_bytes();
        bytes[PROBABILITY_BYTE] = (self.probability * PROBABILITY_SCALE) as u8;
        bytes.to_vec()
    }

    /// Reads a message; `None` unless it is eight bytes long.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let mut bytes = <[u8; 8]>::try_from(bytes).ok()?;
        let probability = f64::from(std::mem::take(&mut bytes[PROBABILITY_BYTE])) / PROBABILITY_SCALE;
        Some(Self { name_hash: u64::from_le_bytes(bytes), probability })
    }
}

impl Gateway {
    /// Handles a message of another gateway; one that cannot be decoded is dropped.
    pub(crate) fn receive_gossip(&mut self, bytes: &[u8]) {
        if let Some(report) = AdmitReport::decode(bytes) {
            self.admit_estimates.record(report.name_hash, report.probability, self.now);
        }
    }
}
