//! Text tables with aligned columns.

/// A table whose first row is the heading.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the given column headings and no rows.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|h| (*h).to_owned()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    #[must_use]
    pub fn row(mut self, cells: Vec<String>) -> Self {
        self.rows.push(cells);
        self
    }
}

impl std::fmt::Display for TextTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |c: usize| {
            let cells = self.rows.iter().filter_map(|r| r.get(c));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
