//! Mutants: rules taken out one at a time, so that the tests which start processes are seen to catch each. Without the
//! feature `mutants` there are none, and this is nothing.

/// Whether this build is to go without the rule of this name: the variable `DOORCOURSE_MUTANT` says which.
#[must_use]
pub fn mutant(name: &str) -> bool {
    #[cfg(feature = "mutants")]
    {
        use std::sync::OnceLock;
        static CHOSEN: OnceLock<Option<String>> = OnceLock::new();
        CHOSEN.get_or_init(|| std::env::var("DOORCOURSE_MUTANT").ok()).as_deref() == Some(name)
    }
    #[cfg(not(feature = "mutants"))]
    {
        let _ = name;
        false
    }
}
