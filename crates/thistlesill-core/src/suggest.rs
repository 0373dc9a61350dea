//! Suggestions for misspelled words.

/// Lowest similarity of a suggestion, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.6;

/// Returns the word of `known` that is most similar to `word`, if any is similar enough.
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
