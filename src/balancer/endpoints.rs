//! The endpoint list.

use crate::health::concurrency_limit::ROOM_FIRST;
use crate::state::Backend;
use crate::*;

impl Gateway {
    pub(crate) fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            let now = self.now;
            self.backends.values_mut().for_each(|b| (b.ready, b.gone) = (false, b.gone.or(Some(now))));
            self.routes.clear_list();
        }
        for entry in list {
            let (ready, known) = (entry.state == BackendState::Ready, self.backends.get_mut(&entry.name));
            let out = known.as_ref().map_or(0, |b| b.out);
            let gone = (entry.state == BackendState::Removed).then_some(self.now);
            let seat = self.routes.seat(known.as_ref().map(|b| b.seat), &entry);
            if let Some(known) = known.filter(|b| b.started == entry.started) {
                (known.ready, known.gone) = (ready, gone);
                continue;
            }
            let room = ROOM_FIRST / f64::from(self.settings.gateway_count);
            let BackendEntry { name, zone, cell, started, .. } = entry;
            let rest = Backend { seat, started, out, room, ..Default::default() };
            self.backends.insert(name, Backend { zone, cell, ready, gone, ..rest });
        }
        self.routes.arrange();
        self.drain_queue(out);
    }
}
