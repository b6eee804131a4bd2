//! Changed settings.

use crate::check::check;
use crate::*;

impl Gateway {
    /// What is out goes on under the class and plan it came with: those that the new settings lack stay
    /// behind them, without a name to be asked for, as long as something is of them.
    pub(crate) fn change_settings(&mut self, settings: Settings, out: &mut Vec<Action>) {
        if check(&settings).is_err() || settings.gateway_index != self.settings.gateway_index {
            return out.push(Action::Log("changed settings refused: not usable, or another number".into()));
        }
        let old = std::mem::replace(&mut self.settings, settings);
        let (requests, customers) = (&self.requests, &self.customers);
        let used = |at| requests.values().any(|r| r.class_index == at);
        let classes = carry_over(&old.classes, &mut self.settings.classes, |c| &mut c.name, used);
        let plans = carry_over(
            &old.plans,
            &mut self.settings.plans,
            |p| &mut p.name,
            |at| {
                requests.values().any(|r| r.plan_index == at)
                    || customers.values().any(|c| c.plan_index == at)
            },
        );
        let (mut latency, mut odds) = (vec![0.0; self.settings.classes.len()], Vec::new());
        odds.resize(self.settings.plans.len(), [1.0, 0.0]);
        let moved = classes.iter().zip(&self.class_latency).filter_map(|(to, was)| Some(((*to)?, *was)));
        moved.for_each(|(to, was)| latency[to] = was);
        let moved =
            plans.iter().zip(&self.plan_admit_probability).filter_map(|(to, was)| Some(((*to)?, *was)));
        moved.for_each(|(to, was)| odds[to] = was);
        (self.class_latency, self.plan_admit_probability) = (latency, odds);
        for request in self.requests.values_mut() {
            request.class_index = classes[request.class_index].unwrap_or_default();
            request.plan_index = plans[request.plan_index].unwrap_or_default();
        }
        self.endpoints.configure(&self.settings, self.is_large_fleet(), self.random);
        for customer in self.customers.values_mut() {
            let to = plans[customer.plan_index].unwrap_or_default();
            customer.change_plan(self.now, &old.plans[customer.plan_index], &self.settings.plans[to]);
            customer.plan_index = to;
        }
        out.push(Action::Log("settings changed".into()));
    }
}

/// Where each old class or plan is among the new ones, by name; one that is gone and in use goes behind.
pub(crate) fn carry_over<T: Clone>(
    old: &[T], new: &mut Vec<T>, name: impl Fn(&mut T) -> &mut Name, used: impl Fn(usize) -> bool,
) -> Vec<Option<usize>> {
    let mut place = |(at, item): (usize, &T)| {
        let mut item = item.clone();
        let known = new.iter_mut().position(|n| !name(&mut item).is_empty() && *name(n) == *name(&mut item));
        known.or_else(|| {
            let kept = used(at);
            *name(&mut item) = Name::default();
            kept.then(|| new.push(item))?;
            Some(new.len() - 1)
        })
    };
    old.iter().enumerate().map(&mut place).collect()
}
