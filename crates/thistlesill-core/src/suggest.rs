//! Suggestions of the nearest right word for a wrong one.

/// The similarity from which a word is worth suggesting, 0 to 1.
const MIN_SIMILARITY: f64 = 0.6;

/// Returns the word of `known` nearest to `word`, if any is near.
///
/// # Examples
///
/// ```
/// use thistlesill_core::suggest::nearest;
/// assert_eq!(nearest("modle", ["model", "adapter"]), Some("model"));
/// assert_eq!(nearest("zzz", ["model"]), None);
/// ```
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|k| (strsim::normalized_damerau_levenshtein(word, k), k))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}
