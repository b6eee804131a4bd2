//! Applies changed settings without losing requests or quotas.

use crate::validation::validate;
use crate::{Action, Gateway, Name, Plan, RequestClass, Settings};

/// The settings cannot be used or have another gateway index ("number"). The text is frozen: operators search for it.
const SETTINGS_REFUSED_LOG: &str = "changed settings refused: not usable, or another number";
/// Changed settings are in force. The text is frozen like [`SETTINGS_REFUSED_LOG`].
const SETTINGS_CHANGED_LOG: &str = "settings changed";

/// An item of the settings that requests and customers refer to by index.
trait Named {
    fn name(&self) -> &Name;
    fn clear_name(&mut self);
}

impl Named for RequestClass {
    fn name(&self) -> &Name {
        &self.name
    }

    fn clear_name(&mut self) {
        self.name = Name::default();
    }
}

impl Named for Plan {
    fn name(&self) -> &Name {
        &self.name
    }

    fn clear_name(&mut self) {
        self.name = Name::default();
    }
}

/// Where each old item is among the new ones.
struct NewIndices(Vec<Option<usize>>);

impl NewIndices {
    /// The new index of an old item that is in use.
    fn of(&self, old_index: usize) -> usize {
        self.0[old_index].unwrap_or_default()
    }

    /// Moves the learned state of each old item to its new index; new items get the default.
    fn move_state<T: Copy + Default>(&self, old: &[T], new_len: usize) -> Vec<T> {
        let mut new = vec![T::default(); new_len];
        for (new_index, state) in self.0.iter().zip(old) {
            if let Some(new_index) = new_index {
                new[*new_index] = *state;
            }
        }
        new
    }
}

/// Finds each old item among the new ones by its name. An old item that is missing there but still in use is appended
/// without its name, so that no new request can refer to it.
fn carry_over<T: Clone + Named>(
    old: &[T], new: &mut Vec<T>, is_in_use: impl Fn(usize) -> bool,
) -> NewIndices {
    let mut new_index = |(index, item): (usize, &T)| {
        let has_its_name = |new: &T| !item.name().is_empty() && new.name() == item.name();
        if let Some(known) = new.iter().position(has_its_name) {
            return Some(known);
        }
        if !is_in_use(index) {
            return None;
        }
        let mut item = item.clone();
        item.clear_name();
        new.push(item);
        Some(new.len() - 1)
    };
    NewIndices(old.iter().enumerate().map(&mut new_index).collect())
}

impl Gateway {
    /// Applies new settings. Invalid settings, or those of another gateway, are refused. Requests in flight keep the
    /// class and plan that they arrived with.
    pub(crate) fn change_settings(&mut self, mut settings: Settings, out: &mut Vec<Action>) {
        if validate(&settings).is_err() || settings.gateway_index != self.settings.gateway_index {
            return out.push(Action::Log(SETTINGS_REFUSED_LOG.into()));
        }
        settings.plans.iter_mut().for_each(Plan::apply_enforced_quota);
        let old = std::mem::replace(&mut self.settings, settings);
        let classes = carry_over(&old.classes, &mut self.settings.classes, |index| {
            self.requests.values().any(|request| request.class_index == index)
        });
        let plans = carry_over(&old.plans, &mut self.settings.plans, |index| {
            self.requests.values().any(|request| request.plan_index == index)
                || self.customers.values().any(|customer| customer.plan_index == index)
        });
        self.smoothed_latencies = classes.move_state(&self.smoothed_latencies, self.settings.classes.len());
        self.plan_priors = plans.move_state(&self.plan_priors, self.settings.plans.len());
        for request in self.requests.values_mut() {
            request.class_index = classes.of(request.class_index);
            request.plan_index = plans.of(request.plan_index);
        }
        self.endpoints.configure(&self.settings, self.random);
        for customer in self.customers.values_mut() {
            let new_index = plans.of(customer.plan_index);
            customer.change_plan(self.now, &old.plans[customer.plan_index], &self.settings.plans[new_index]);
            customer.plan_index = new_index;
        }
        out.push(Action::Log(SETTINGS_CHANGED_LOG.into()));
    }
}
