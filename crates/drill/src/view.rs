//! Shows a running drill on a terminal: the current phase, the gateways, responses by phase and the result of each rule so
//! far.

use crate::fleet::Fleet;
use doorcourse_conformance::summarize;
use ratatui::DefaultTerminal;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::Line;
use ratatui::widgets::{Block, Cell, Gauge, Paragraph, Row, Table};

/// The terminal in use; its previous state is restored on drop.
pub struct TerminalView {
    terminal: DefaultTerminal,
    title: String,
    about: String,
}

impl TerminalView {
    /// Initializes the terminal.
    ///
    /// # Errors
    /// Fails when there is no usable terminal.
    pub fn start(name: &str, about: &str) -> std::io::Result<Self> {
        let terminal = ratatui::try_init()?;
        Ok(Self { terminal, title: format!(" drill {name} "), about: about.to_owned() })
    }

    /// Draws the current state. Errors of the terminal are ignored, since they must not stop the drill.
    pub fn draw(&mut self, phase: &str, progress: f64, fleet: &Fleet) {
        let report = summarize(&fleet.recorder.records());
        let accepting = fleet.accepting.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        let running = fleet.running();
        let (title, about) = (self.title.clone(), self.about.clone());
        let _ = self.terminal.draw(|frame| {
            let heights =
                [Constraint::Length(3), Constraint::Length(3), Constraint::Min(8), Constraint::Length(8)];
            let [head, gateways, answers, rules] = Layout::vertical(heights).areas(frame.area());
            let gauge = Gauge::default().ratio(progress.clamp(0.0, 1.0)).label(phase.to_owned());
            frame.render_widget(gauge.block(Block::bordered().title(title)).gauge_style(Color::Cyan), head);
            let state = |gateway: usize| match (running[gateway], accepting[gateway]) {
                (true, true) => format!("gateway {gateway} serves").green(),
                (true, false) => format!("gateway {gateway} drains").yellow(),
                (false, _) => format!("gateway {gateway} is down").red(),
            };
            let gateway_states =
                (0..running.len()).flat_map(|gateway| [state(gateway), "   ".into()]).collect::<Vec<_>>();
            frame.render_widget(
                Paragraph::new(Line::from(gateway_states)).block(Block::bordered().title(about)),
                gateways,
            );
            let phase_row = |(name, counts): &(String, doorcourse_conformance::ResponseCounts)| {
                let figures = [
                    counts.requests,
                    counts.served,
                    counts.late,
                    counts.refused,
                    counts.failed + counts.truncated,
                    counts.connection_lost,
                ];
                let cells =
                    figures.iter().map(ToString::to_string).chain([format!("{:.0}", counts.latency_ms.1)]);
                Row::new([name.clone()].into_iter().chain(cells).map(Cell::from))
            };
            let titles = ["phase", "asked", "served", "late", "refused", "failed", "lost", "p99 ms"];
            let widths = [Constraint::Min(30)].into_iter().chain([Constraint::Length(8); 7]);
            let rows = report.phases.iter().filter(|(_, counts)| counts.requests > 0).map(phase_row);
            let table = Table::new(rows, widths).header(Row::new(titles).style(Style::new().bold()));
            frame.render_widget(table.block(Block::bordered().title(" answers ")), answers);
            let rule_line = |(rule, violations): (
                &doorcourse_conformance::Rule,
                &Vec<doorcourse_conformance::Violation>,
            )| {
                match violations.first() {
                    None => Line::from(format!("{rule:?}: kept so far").green()),
                    Some(first) => Line::from(format!("{rule:?}: broken: {}", first.what).red()),
                }
            };
            let lines: Vec<Line> = report.violations.iter().map(rule_line).collect();
            frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(" rules ")), rules);
        });
    }
}

impl Drop for TerminalView {
    fn drop(&mut self) {
        ratatui::restore();
    }
}
