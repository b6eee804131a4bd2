//! Messages between gateways.

use crate::*;

impl Gateway {
    pub(crate) fn receive_gossip(&mut self, bytes: &[u8]) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let odds = f64::from(std::mem::take(&mut bytes[7])) / 255.0;
        self.admit_probabilities.insert(u64::from_le_bytes(bytes), (odds, self.now));
    }
}
